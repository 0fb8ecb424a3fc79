package org.zinniatack.core.pace;

/**
 * The usual time of an answer of the targets of a pool: a moving average that a few late
 * answers change little.
 */
public final class UsualTime {

	private static final double WEIGHT = 0.05;

	/** Fewer times do not tell what is usual. */
	private static final int MINIMUM_COUNT = 10;

	/** The most by which one time counts, as a factor of the average. */
	private static final double MAXIMUM_FACTOR = 3;

	private double averageMs;

	private int count;

	/**
	 * Records the time of one answer.
	 * @param durationMs the time in milliseconds
	 */
	public void record(double durationMs) {
		this.count = Math.min(this.count + 1, MINIMUM_COUNT);
		if (this.count < MINIMUM_COUNT) {
			this.averageMs += (durationMs - this.averageMs) / this.count;
			return;
		}
		double counted = Math.min(durationMs, Math.max(1, MAXIMUM_FACTOR * this.averageMs));
		this.averageMs += (counted - this.averageMs) * WEIGHT;
	}

	/**
	 * Returns the usual time.
	 * @return the time in milliseconds, 0 if too few are known
	 */
	public double usualMs() {
		return (this.count < MINIMUM_COUNT) ? 0 : this.averageMs;
	}

}
