package org.zinniatack.core.target;

import org.zinniatack.core.config.Specification;

/**
 * Decides how many targets a pool needs.
 */
public interface ScalingPolicy {

	/**
	 * Returns a policy that follows the load without delay.
	 * @return the policy
	 */
	static ScalingPolicy immediate() {
		return (limits, load, current, nowMs) -> clampToLimits(limits, requiredTargets(limits, load));
	}

	/**
	 * Returns a policy that scales up immediately and scales down only after the required
	 * number has been lower for a delay, so that lagging load reports do not cause
	 * flapping.
	 * @param shrinkDelayMs the delay before scaling down, in milliseconds
	 * @return the policy; it keeps state and serves one pool only
	 */
	static ScalingPolicy hysteresis(long shrinkDelayMs) {
		return new HysteresisScalingPolicy(shrinkDelayMs);
	}

	/**
	 * Returns the number of targets to order.
	 * @param limits the policy of the pool
	 * @param load the load of the pool
	 * @param current the number of targets ordered now
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the number of targets
	 */
	int targetCount(Specification.PoolPolicy limits, Load load, int current, long nowMs);

	/**
	 * Returns the number of targets required for a load.
	 * @param limits the policy of the pool
	 * @param load the load of the pool
	 * @return the number, which may be outside the limits of the pool
	 */
	static int requiredTargets(Specification.PoolPolicy limits, Load load) {
		int requests = load.queuedCount() + load.runningCount();
		return (requests + limits.requestsPerTarget() - 1) / limits.requestsPerTarget();
	}

	/**
	 * Returns the number of targets clamped to the limits of a pool.
	 * @param limits the policy of the pool
	 * @param count the number of targets
	 * @return the clamped number
	 */
	static int clampToLimits(Specification.PoolPolicy limits, int count) {
		return Math.max(limits.minimumTargets(), Math.min(limits.maximumTargets(), count));
	}

	/**
	 * The load of a pool.
	 *
	 * @param queuedCount the number of waiting requests
	 * @param runningCount the number of running requests
	 */
	record Load(int queuedCount, int runningCount) {
	}

}
