package org.zinniatack.core.admission;

/**
 * A token bucket.
 */
public final class TokenBucket {

	private static final double MS_PER_S = 1000;

	private final double permitsPerS;

	private final double capacity;

	private double permits;

	private long refilledAtMs;

	/**
	 * Returns a full bucket.
	 * @param permitsPerS the permits that are added in a second
	 * @param capacity the largest number of permits
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public TokenBucket(double permitsPerS, double capacity, long nowMs) {
		this.permitsPerS = permitsPerS;
		this.capacity = capacity;
		this.permits = capacity;
		this.refilledAtMs = nowMs;
	}

	/**
	 * Takes permits if there are enough.
	 * @param count the number of permits
	 * @param nowMs the monotonic time, in milliseconds
	 * @return 0 if they were taken, or the time until there are enough, in milliseconds
	 */
	public long tryTake(double count, long nowMs) {
		refill(nowMs);
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
		refill(nowMs);
		this.permits -= count;
	}

	/**
	 * Returns the time until the bucket owes nothing.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return milliseconds, 0 if it owes nothing
	 */
	public long debtRepaymentMs(long nowMs) {
		refill(nowMs);
		return (this.permits >= 0) ? 0 : (long) Math.ceil(-this.permits / this.permitsPerS * MS_PER_S);
	}

	private void refill(long nowMs) {
		double added = Math.max(0, nowMs - this.refilledAtMs) / MS_PER_S * this.permitsPerS;
		this.permits = Math.min(this.capacity, this.permits + added);
		this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
	}

}
