package org.zinniatack.core.state;

/**
 * What a caller gets who repeats a request that may not be repeated.
 *
 * @param state what became of the attempt
 * @param httpStatus the status of the answer, if it ran
 * @param contentType the content type of the answer, if it ran
 * @param body the body of the answer, if it ran
 */
public record AttemptOutcome(State state, int httpStatus, String contentType, byte[] body) {

	/**
	 * Returns the answer of an attempt without a body.
	 * @param state what became of the attempt
	 * @return the answer
	 */
	public static AttemptOutcome of(State state) {
		return new AttemptOutcome(state, 0, "", new byte[0]);
	}

	/** What became of an attempt. */
	public enum State {

		/** It is running, or its entry died. */
		RUNNING,

		/** It ran and its answer is kept. */
		RAN,

		/** It never reached a target, so the next attempt may run. */
		NOT_RUN,

		/** Whether it ran is unknown, so no other attempt may run. */
		UNKNOWN

	}

}
