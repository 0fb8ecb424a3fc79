package org.zinniatack.core.target;

import org.zinniatack.core.config.Specification;

/**
 * Decides how many targets a pool needs.
 */
public interface ScalingPolicy {

	/**
	 * Returns a policy that follows load at once.
	 * @return the policy
	 */
	static ScalingPolicy immediate() {
		return (limits, load, current, nowMs) -> clampToLimits(limits, requiredTargets(limits, load));
	}

	/**
	 * Returns a policy that grows at once and shrinks only after the need has been lower
	 * for a time, so that a lag in load reports does not make it flap.
	 * @param shrinkDelayMs the time, in milliseconds
	 * @return the policy, for one pool
	 */
	static ScalingPolicy hysteresis(long shrinkDelayMs) {
		return new HysteresisScalingPolicy(shrinkDelayMs);
	}

	/**
	 * Returns the number of targets to order.
	 * @param limits the policy of the pool
	 * @param load the load of the pool
	 * @param current the number of targets that is ordered now
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the number of targets
	 */
	int targetCount(Specification.PoolPolicy limits, Load load, int current, long nowMs);

	/**
	 * Returns the number of targets that carries a load.
	 * @param limits the policy of the pool
	 * @param load the load of the pool
	 * @return the number, not yet bounded
	 */
	static int requiredTargets(Specification.PoolPolicy limits, Load load) {
		int requests = load.queuedCount() + load.runningCount();
		return (requests + limits.requestsPerTarget() - 1) / limits.requestsPerTarget();
	}

	/**
	 * Returns a number within the limits of a pool.
	 * @param limits the policy of the pool
	 * @param count the number of targets
	 * @return the bounded number
	 */
	static int clampToLimits(Specification.PoolPolicy limits, int count) {
		return Math.max(limits.minimumTargets(), Math.min(limits.maximumTargets(), count));
	}

	/**
	 * The load of a pool.
	 *
	 * @param queuedCount the requests that wait
	 * @param runningCount the requests that run
	 */
	record Load(int queuedCount, int runningCount) {
	}

}
