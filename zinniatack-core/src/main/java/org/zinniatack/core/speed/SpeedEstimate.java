package org.zinniatack.core.speed;

/**
 * Estimates the time of a unit of work (an answer, an event) at a target that states the
 * present duration of work there. The expected time is the usual time of the target
 * multiplied by its present factor. Times are given by the caller, so nothing here reads
 * a clock.
 */
public final class SpeedEstimate {

	/** Targets state figures many times a second, and disturbances last half a second. */
	private static final double FACTOR_TIME_CONSTANT_MS = 200;

	/** A disturbance of which there is no news is over after this time. */
	private static final double FACTOR_VALID_MS = 500;

	/**
	 * The rest of a disturbance that has been noticed: half of its usual duration.
	 */
	private static final double DISTURBANCE_REST_MS = 250;

	/** Long against disturbances, short against the life of a target. */
	private static final double USUAL_TIME_CONSTANT_MS = 10_000;

	/**
	 * The figure around which a target's figures vary changes more slowly than its speed.
	 */
	private static final double USUAL_FACTOR_TIME_CONSTANT_MS = 30_000;

	private static final double USUAL_FACTOR_PRIOR_WEIGHT = 20;

	/** A few measurements of work of uneven length say little about a target. */
	private static final double USUAL_PRIOR_WEIGHT = 4;

	/** Limits what one absurd figure can do to the choice of targets. */
	private static final double MINIMUM_FACTOR = 0.1;

	private static final double MAXIMUM_FACTOR = 10;

	private static final double RECENT_WEIGHT = 0.1;

	/** A recent time without a newer measurement says nothing about the present. */
	private static final long RECENT_VALID_MS = 2_000;

	private static final double SLOW_RATIO = 2;

	/** A shorter slowness is a disturbance by a neighbor on the VM. */
	private static final long SLOW_AFTER_MS = 500;

	/** A single long answer is no slowness of the target. */
	private static final int SLOW_MEASUREMENTS = 5;

	/** A slowness of this duration is the new usual speed of the target. */
	private static final long NEW_USUAL_AFTER_MS = 10_000;

	private DecayingMean usual = DecayingMean.empty(USUAL_TIME_CONSTANT_MS);

	private DecayingMean stated = DecayingMean.empty(FACTOR_TIME_CONSTANT_MS);

	private DecayingMean usuallyStated = DecayingMean.empty(USUAL_FACTOR_TIME_CONSTANT_MS);

	private double recentMs;

	private long measuredAtMs = Long.MIN_VALUE / 2;

	private long slowSinceMs;

	/** The number of measurements since the recent time is far above the usual one. */
	private int slowCount;

	/**
	 * Records a figure that the target stated.
	 * @param percent how long work takes, in per cent of the usual
	 * @param atMs the monotonic time of the answer with the figure, in milliseconds
	 */
	public void recordStated(int percent, long atMs) {
		double factor = Math.max(MINIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, percent / 100.0));
		this.stated = this.stated.with(factor, atMs);
		this.usuallyStated = this.usuallyStated.with(factor, atMs);
	}

	/**
	 * Records the measured time of a unit of work.
	 * @param ms the time, in milliseconds
	 * @param atMs the monotonic time at which the work was done, in milliseconds
	 */
	public void recordTime(double ms, long atMs) {
		boolean first = atMs - this.measuredAtMs > RECENT_VALID_MS;
		this.recentMs = first ? ms : this.recentMs * (1 - RECENT_WEIGHT) + ms * RECENT_WEIGHT;
		this.slowCount = first ? 0 : this.slowCount;
		this.measuredAtMs = Math.max(atMs, this.measuredAtMs);
		if (this.usual.weight() < USUAL_PRIOR_WEIGHT || this.recentMs <= SLOW_RATIO * this.usual.mean()) {
			this.slowCount = 0;
			this.usual = this.usual.with(ms / presentFactor(atMs), atMs);
			return;
		}
		this.slowSinceMs = (this.slowCount == 0) ? atMs : this.slowSinceMs;
		this.slowCount++;
		if (atMs - this.slowSinceMs > NEW_USUAL_AFTER_MS) {
			this.slowCount = 0;
			this.usual = DecayingMean.empty(USUAL_TIME_CONSTANT_MS).with(this.recentMs / presentFactor(atMs), atMs);
		}
	}

	/**
	 * Records that a unit of work was given up before it was done. It counts only if it
	 * had already taken longer than expected; otherwise nothing is known.
	 * @param ms the time for which it had run, in milliseconds
	 * @param atMs the monotonic time, in milliseconds
	 */
	public void recordGivenUp(double ms, long atMs) {
		if (this.usual.weight() > 0 && ms > this.usual.mean() * presentFactor(atMs)) {
			recordTime(ms, atMs);
		}
	}

	/**
	 * Returns how long work takes at the moment relative to the usual time of the target.
	 * The stated figures are compared with those that the target usually states, so that
	 * a target that is slow by nature may state that or not.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the factor, 1 without news for half a second
	 */
	public double presentFactor(long nowMs) {
		double age = Math.max(0, nowMs - this.stated.newestAtMs());
		if (age >= FACTOR_VALID_MS) {
			return 1;
		}
		double usualFactor = this.usuallyStated.meanWithPrior(1, USUAL_FACTOR_PRIOR_WEIGHT, nowMs);
		return 1 + (this.stated.mean() / usualFactor - 1) * (1 - age / FACTOR_VALID_MS);
	}

	/**
	 * Returns the usual time of a unit of work.
	 * @return the mean in milliseconds, 0 without measurements
	 */
	public double usualMs() {
		return this.usual.mean();
	}

	/**
	 * Returns the usual time of a unit of work, which approaches that of the pool the
	 * fewer and older the measurements are.
	 * @param medianMs the median of the pool, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the usual time in milliseconds
	 */
	public double usualMs(double medianMs, long nowMs) {
		return this.usual.meanWithPrior(medianMs, USUAL_PRIOR_WEIGHT, nowMs);
	}

	/**
	 * Returns the expected time of a unit of work that starts now.
	 * @param medianMs the median of the usual times of the pool, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the time in milliseconds
	 */
	public double expectedMs(double medianMs, long nowMs) {
		return usualMs(medianMs, nowMs) * presentFactor(nowMs) + slownessMs(nowMs);
	}

	/**
	 * Returns the expected time of several units of work one after the other. A
	 * disturbance ends while they run.
	 * @param units the number of units
	 * @param medianMs the median of the usual times of the pool, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the time of all units in milliseconds
	 */
	public double expectedMs(double units, double medianMs, long nowMs) {
		double usualMs = units * usualMs(medianMs, nowMs);
		return usualMs + (presentFactor(nowMs) - 1) * Math.min(usualMs, DISTURBANCE_REST_MS)
				+ units * slownessMs(nowMs);
	}

	/**
	 * Returns by how much work takes longer at a target that has become slow. It is tried
	 * again as time passes, since only a measurement tells that it has recovered.
	 */
	private double slownessMs(long nowMs) {
		return becameSlow() ? (this.recentMs - this.usual.mean())
				* Math.exp(-Math.max(0, nowMs - this.measuredAtMs) / USUAL_TIME_CONSTANT_MS) : 0;
	}

	private boolean becameSlow() {
		return this.slowCount >= SLOW_MEASUREMENTS && this.measuredAtMs - this.slowSinceMs > SLOW_AFTER_MS;
	}

	/**
	 * Returns whether work takes more than twice as long as usual for longer than a
	 * disturbance lasts.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false without a measurement for two seconds
	 */
	public boolean hasBecomeSlow(long nowMs) {
		return becameSlow() && nowMs - this.measuredAtMs <= RECENT_VALID_MS;
	}

}
