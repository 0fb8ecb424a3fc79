package org.zinniatack.core.state;

/**
 * The recorded outcome of an attempt of an at-most-once request. Retries of the request
 * receive it instead of running again.
 *
 * @param state the state of the attempt
 * @param httpStatus the HTTP status of the response if the attempt ran, otherwise 0
 * @param contentType the content type of the response if the attempt ran, otherwise empty
 * @param body the body of the response if the attempt ran, otherwise empty
 */
public record AttemptOutcome(State state, int httpStatus, String contentType, byte[] body) {

	/**
	 * Returns an outcome without a response.
	 * @param state the state of the attempt
	 * @return the outcome
	 */
	public static AttemptOutcome of(State state) {
		return new AttemptOutcome(state, 0, "", new byte[0]);
	}

	/** The state of an attempt. */
	public enum State {

		/** The attempt is running, or its entry process died during it. */
		RUNNING,

		/** The attempt ran and its response is stored. */
		RAN,

		/** The attempt never reached a target, so another attempt may run. */
		NOT_RUN,

		/** The attempt may have run, so no other attempt may run. */
		UNKNOWN

	}

}
