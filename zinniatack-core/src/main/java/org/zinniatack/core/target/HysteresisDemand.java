package org.zinniatack.core.target;

import org.zinniatack.core.config.Specification;

/**
 * Grows at once and shrinks to the largest need seen during a delay.
 */
final class HysteresisDemand implements DemandPolicy {

	private final long shrinkDelayMs;

	private long lowSinceMs = Long.MIN_VALUE;

	private int largestNeed;

	HysteresisDemand(long shrinkDelayMs) {
		this.shrinkDelayMs = shrinkDelayMs;
	}

	@Override
	public int targets(Specification.PoolPolicy limits, Load load, int current, long nowMs) {
		int needed = DemandPolicy.bounded(limits, DemandPolicy.needed(limits, load));
		if (needed >= current) {
			this.lowSinceMs = Long.MIN_VALUE;
			return needed;
		}
		if (this.lowSinceMs == Long.MIN_VALUE) {
			this.lowSinceMs = nowMs;
			this.largestNeed = needed;
		}
		this.largestNeed = Math.max(this.largestNeed, needed);
		if (nowMs - this.lowSinceMs < this.shrinkDelayMs) {
			return DemandPolicy.bounded(limits, current);
		}
		this.lowSinceMs = Long.MIN_VALUE;
		return this.largestNeed;
	}

}
