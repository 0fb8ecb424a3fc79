package org.zinniatack.process;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonProperty;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The body of all HTTP error responses.
 *
 * @param error the failure
 */
public record ErrorBody(Detail error) {

	/**
	 * Returns the error body for a failure.
	 * @param failure the failure
	 * @return the error body
	 */
	public static ErrorBody of(ServiceException failure) {
		ResultCode code = failure.code();
		return new ErrorBody(new Detail(code.number(), code.name().toLowerCase(Locale.ROOT),
				code.outcome().name().toLowerCase(Locale.ROOT), code.description() + " " + failure.getMessage(),
				failure.retryAfterMs()));
	}

	/**
	 * The description of a failure.
	 *
	 * @param code the number of the result code
	 * @param type the name of the result code, in lower case
	 * @param outcome whether the request ran: ran, not_run or unknown
	 * @param message what was wrong
	 * @param retryAfterMs the delay before a retry, in milliseconds, 0 if a retry does
	 * not help
	 */
	public record Detail(int code, String type, String outcome, String message,
			@JsonProperty("retry_after_ms") long retryAfterMs) {
	}

}
