package org.zinniatack.core.result;

import java.util.Objects;

/**
 * A failure with a result code and, if a retry may succeed, the delay before it. It has
 * no stack trace.
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
	 * Creates an exception for a failure that a retry does not resolve.
	 * @param code the result code
	 * @param detail a message that says what was wrong; it must not contain secrets
	 * @return the exception
	 */
	public static ServiceException of(ResultCode code, String detail) {
		return new ServiceException(code, detail, 0);
	}

	/**
	 * Creates an exception for a temporary failure.
	 * @param code the result code
	 * @param detail a message that says what was wrong; it must not contain secrets
	 * @param retryAfterMs the delay before a retry, in milliseconds
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
	 * Returns the delay before a retry.
	 * @return the delay in milliseconds, 0 if a retry does not help
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
