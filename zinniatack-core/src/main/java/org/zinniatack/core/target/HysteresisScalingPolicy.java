package org.zinniatack.core.target;

import org.zinniatack.core.config.Specification;

/**
 * Grows at once and shrinks to the largest need seen during a delay.
 */
final class HysteresisScalingPolicy implements ScalingPolicy {

	private final long shrinkDelayMs;

	private long lowSinceMs = Long.MIN_VALUE;

	private int largestRequired;

	HysteresisScalingPolicy(long shrinkDelayMs) {
		this.shrinkDelayMs = shrinkDelayMs;
	}

	@Override
	public int targetCount(Specification.PoolPolicy limits, Load load, int current, long nowMs) {
		int required = ScalingPolicy.clampToLimits(limits, ScalingPolicy.requiredTargets(limits, load));
		if (required >= current) {
			this.lowSinceMs = Long.MIN_VALUE;
			return required;
		}
		if (this.lowSinceMs == Long.MIN_VALUE) {
			this.lowSinceMs = nowMs;
			this.largestRequired = required;
		}
		this.largestRequired = Math.max(this.largestRequired, required);
		if (nowMs - this.lowSinceMs < this.shrinkDelayMs) {
			return ScalingPolicy.clampToLimits(limits, current);
		}
		this.lowSinceMs = Long.MIN_VALUE;
		return this.largestRequired;
	}

}
