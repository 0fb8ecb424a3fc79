package org.zinniatack.core.speed;

import java.util.Collection;

/**
 * The speed of the targets of a pool.
 */
public final class PoolSpeed {

	private PoolSpeed() {
	}

	/**
	 * Returns the median of the usual times of measured targets.
	 * @param estimates the estimates of the targets of a pool
	 * @return the lower median in milliseconds, 0 if no target was measured
	 */
	public static double medianMs(Collection<SpeedEstimate> estimates) {
		double[] usualMs = estimates.stream()
			.mapToDouble(SpeedEstimate::usualMs)
			.filter((ms) -> ms > 0)
			.sorted()
			.toArray();
		return (usualMs.length > 0) ? usualMs[(usualMs.length - 1) / 2] : 0;
	}

	/**
	 * Returns how many times longer than at the median of its pool a call takes at a
	 * target until it is answered.
	 * @param estimate the speed of the target
	 * @param queueFactor the time relative to that without a queue, at least 1
	 * @param medianMs the median of the pool in milliseconds, 0 if unknown
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the factor, 1 for the median target without a queue or a disturbance
	 */
	public static double relativeTime(SpeedEstimate estimate, double queueFactor, double medianMs, long nowMs) {
		double unit = (medianMs > 0) ? medianMs : 1;
		return queueFactor * estimate.expectedMs(unit, nowMs) / unit;
	}

	/**
	 * Returns how much longer a request takes because of the requests ahead of it.
	 * @param aheadCount the number of requests ahead of it
	 * @param slotCount the number of requests that the target runs at once
	 * @return 1 if there is a free slot, 2 if all slots have to become free once before
	 */
	public static double queueFactor(int aheadCount, int slotCount) {
		int slots = Math.max(1, slotCount);
		return 1 + Math.max(0, aheadCount + 1 - slots) / (double) slots;
	}

}
