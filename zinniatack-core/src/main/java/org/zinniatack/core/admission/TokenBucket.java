package org.zinniatack.core.admission;

/**
 * A token bucket whose balance of permits may become negative.
 */
public final class TokenBucket {

	private static final double MS_PER_S = 1000;

	private final double permitsPerS;

	private final double capacity;

	private double permits;

	private long refilledAtMs;

	/**
	 * Creates a full bucket.
	 * @param permitsPerS the number of permits added per second
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
	 * Takes permits if enough are available.
	 * @param count the number of permits
	 * @param nowMs the monotonic time, in milliseconds
	 * @return 0 if the permits were taken, otherwise the time until enough are available,
	 * in milliseconds
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
	 * Takes permits unconditionally, for work that is already done. The balance may
	 * become negative.
	 * @param count the number of permits
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void charge(double count, long nowMs) {
		refill(nowMs);
		this.permits -= count;
	}

	/**
	 * Returns the time until the balance is no longer negative.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the time in milliseconds, 0 if the balance is not negative
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
