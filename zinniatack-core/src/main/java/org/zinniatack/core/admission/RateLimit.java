package org.zinniatack.core.admission;

/**
 * A token bucket.
 */
public final class RateLimit {

	private static final double MS_PER_S = 1000;

	private final double permitsPerS;

	private final double capacity;

	private double permits;

	private long filledAtMs;

	/**
	 * Returns a full bucket.
	 * @param permitsPerS the permits that are added in a second
	 * @param capacity the largest number of permits
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public RateLimit(double permitsPerS, double capacity, long nowMs) {
		this.permitsPerS = permitsPerS;
		this.capacity = capacity;
		this.permits = capacity;
		this.filledAtMs = nowMs;
	}

	/**
	 * Takes permits if there are enough.
	 * @param count the number of permits
	 * @param nowMs the monotonic time, in milliseconds
	 * @return 0 if they were taken, or the time until there are enough, in milliseconds
	 */
	public long take(double count, long nowMs) {
		fill(nowMs);
		if (this.permits >= count) {
			this.permits -= count;
			return 0;
		}
		return (long) Math.ceil((Math.min(count, this.capacity) - this.permits) / this.permitsPerS * MS_PER_S);
	}

	/**
	 * Takes permits that were used already; the bucket may owe some.
	 * @param count the number of permits
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void charge(double count, long nowMs) {
		fill(nowMs);
		this.permits -= count;
	}

	/**
	 * Returns the time until the bucket owes nothing.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return milliseconds, 0 if it owes nothing
	 */
	public long owedMs(long nowMs) {
		fill(nowMs);
		return (this.permits >= 0) ? 0 : (long) Math.ceil(-this.permits / this.permitsPerS * MS_PER_S);
	}

	private void fill(long nowMs) {
		double added = Math.max(0, nowMs - this.filledAtMs) / MS_PER_S * this.permitsPerS;
		this.permits = Math.min(this.capacity, this.permits + added);
		this.filledAtMs = Math.max(this.filledAtMs, nowMs);
	}

}
