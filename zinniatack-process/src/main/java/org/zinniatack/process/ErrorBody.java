package org.zinniatack.process;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonProperty;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The body of every HTTP answer that reports a failure.
 *
 * @param error the failure
 */
public record ErrorBody(Detail error) {

	/**
	 * Returns the body of a failure.
	 * @param failure the failure
	 * @return the body
	 */
	public static ErrorBody of(ServiceException failure) {
		ResultCode code = failure.code();
		return new ErrorBody(new Detail(code.number(), code.name().toLowerCase(Locale.ROOT),
				code.outcome().name().toLowerCase(Locale.ROOT), code.description() + " " + failure.getMessage(),
				failure.retryAfterMs()));
	}

	/**
	 * A failure.
	 *
	 * @param code the number of the result code
	 * @param type the name of the result code
	 * @param outcome whether the request ran
	 * @param message what was wrong
	 * @param retryAfterMs the time after which to try again, 0 if that does not help
	 */
	public record Detail(int code, String type, String outcome, String message,
			@JsonProperty("retry_after_ms") long retryAfterMs) {
	}

}
