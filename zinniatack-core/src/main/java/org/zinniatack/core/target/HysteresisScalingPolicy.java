package org.zinniatack.core.target;

import org.zinniatack.core.config.Specification;

/**
 * Scales up immediately. Scales down after a delay, to the largest number of targets that
 * was required during it.
 */
final class HysteresisScalingPolicy implements ScalingPolicy {

	private final long shrinkDelayMs;

	private long lowSinceMs = Long.MIN_VALUE;

	private int maximumRequired;

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
			this.maximumRequired = required;
		}
		this.maximumRequired = Math.max(this.maximumRequired, required);
		if (nowMs - this.lowSinceMs < this.shrinkDelayMs) {
			return ScalingPolicy.clampToLimits(limits, current);
		}
		this.lowSinceMs = Long.MIN_VALUE;
		return this.maximumRequired;
	}

}
