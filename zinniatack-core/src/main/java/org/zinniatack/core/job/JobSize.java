package org.zinniatack.core.job;

/**
 * The heap that jobs take and are expected to take.
 *
 * @param storedBytes what is stored, in bytes
 * @param awaitedBytes the output that the items without a result are estimated to add, in
 * bytes
 * @param outputBytes the stored output of finished items, in bytes
 * @param estimatedBytes what this output was estimated at, in bytes
 */
public record JobSize(long storedBytes, long awaitedBytes, long outputBytes, long estimatedBytes) {

	/** The size of no job. */
	public static final JobSize ZERO = new JobSize(0, 0, 0, 0);

	/** Estimates are corrected by at most this factor, either way. */
	private static final double MAX_CORRECTION = 8;

	/** Room for the output of items that are longer than the average. */
	private static final double MARGIN = 1.25;

	/** The least output by which estimates are corrected. */
	private static final long SIGNIFICANT_BYTES = 64 * 1024;

	/**
	 * Adds a size.
	 * @param other the size to add
	 * @return the sum
	 */
	public JobSize plus(JobSize other) {
		return new JobSize(this.storedBytes + other.storedBytes, this.awaitedBytes + other.awaitedBytes,
				this.outputBytes + other.outputBytes, this.estimatedBytes + other.estimatedBytes);
	}

	/**
	 * Subtracts a size.
	 * @param other the size to subtract
	 * @return the difference
	 */
	public JobSize minus(JobSize other) {
		return new JobSize(this.storedBytes - other.storedBytes, this.awaitedBytes - other.awaitedBytes,
				this.outputBytes - other.outputBytes, this.estimatedBytes - other.estimatedBytes);
	}

	/**
	 * Corrects an estimate of output by what finished items were estimated at and took.
	 * @param estimateBytes the estimate, in bytes
	 * @return the expected output, in bytes
	 */
	public long corrected(long estimateBytes) {
		double correction = (this.estimatedBytes < SIGNIFICANT_BYTES) ? 1
				: MARGIN * this.outputBytes / this.estimatedBytes;
		return (long) (estimateBytes * Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, correction)));
	}

	/**
	 * Returns what the jobs take once all of their items have finished.
	 * @return the size, in bytes
	 */
	public long finalBytes() {
		return this.storedBytes + corrected(this.awaitedBytes);
	}

}
