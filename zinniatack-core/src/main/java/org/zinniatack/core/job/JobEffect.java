package org.zinniatack.core.job;

/**
 * The effect of a command that submits or ends a job.
 */
public enum JobEffect {

	/** A new job was accepted. */
	ACCEPTED,

	/** The job was accepted before. */
	REPEATED,

	/** A new job was accepted that had been ended before; none of its items runs. */
	ACCEPTED_ENDED,

	/** A known job was ended, now or before. */
	ENDED,

	/** The end is remembered for a job that may still be submitted. */
	END_REMEMBERED

}
