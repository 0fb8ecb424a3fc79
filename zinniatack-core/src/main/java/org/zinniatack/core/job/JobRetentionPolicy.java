package org.zinniatack.core.job;

/**
 * Decides when a job may be removed.
 *
 * @param retentionMs the time for which a job can be read after its submission, in
 * milliseconds
 */
public record JobRetentionPolicy(long retentionMs) {

	/** Upper bound of the clock difference between control processes, in milliseconds. */
	public static final long CLOCK_MARGIN_MS = 6_000;

	/** Multiplies the retention time of a job that its caller never ended. */
	private static final int ABANDONED_FACTOR = 10;

	/**
	 * Returns the time after which a job may be removed if its caller ends it.
	 * @param job the job
	 * @return the time, in milliseconds since the epoch
	 */
	public long removableOnceEndedAtMs(Job job) {
		return job.submission().submittedAtMs() + this.retentionMs + CLOCK_MARGIN_MS;
	}

	/**
	 * Returns the time after which a job may be removed.
	 * @param job the job
	 * @return the time, in milliseconds since the epoch
	 */
	public long removableAtMs(Job job) {
		long keptMs = job.isEnded() ? this.retentionMs : ABANDONED_FACTOR * this.retentionMs;
		return job.submission().submittedAtMs() + keptMs + CLOCK_MARGIN_MS;
	}

}
