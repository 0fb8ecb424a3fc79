package org.zinniatack.core.result;

import java.util.Objects;

/**
 * A failure with its result code and, where it helps, the time after which to try again.
 */
public final class ServiceException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ResultCode code;

	private final long retryAfterMs;

	private ServiceException(ResultCode code, String detail, long retryAfterMs) {
		super(detail, null, false, false);
		this.code = Objects.requireNonNull(code, "code");
		this.retryAfterMs = retryAfterMs;
	}

	/**
	 * Returns a failure that a repetition does not mend.
	 * @param code the result code
	 * @param detail what was wrong, without secrets
	 * @return the exception
	 */
	public static ServiceException of(ResultCode code, String detail) {
		return new ServiceException(code, detail, 0);
	}

	/**
	 * Returns a failure that may pass.
	 * @param code the result code
	 * @param detail what was wrong, without secrets
	 * @param retryAfterMs the time after which to try again, in milliseconds
	 * @return the exception
	 */
	public static ServiceException retryable(ResultCode code, String detail, long retryAfterMs) {
		return new ServiceException(code, detail, retryAfterMs);
	}

	/**
	 * Returns the result code.
	 * @return the code
	 */
	public ResultCode code() {
		return this.code;
	}

	/**
	 * Returns the time after which to try again.
	 * @return milliseconds, or 0 if a repetition does not help
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
