package org.zinniatack.core.result;

/**
 * What a result code says about the execution of the request that it answers.
 */
public enum Outcome {

	/** The request never reached a target. */
	NOT_RUN,

	/** The request may or may not have run. */
	UNKNOWN,

	/** The request ran to its end. */
	RAN

}
