package org.zinniatack.core.result;

/**
 * Tells whether a request was executed, as far as its result code implies.
 */
public enum Outcome {

	/** The request was not started on any target. */
	NOT_RUN,

	/** The request may or may not have run. */
	UNKNOWN,

	/** The request ran to completion. */
	RAN

}
