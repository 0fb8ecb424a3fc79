package org.zinniatack.core.sample;

/**
 * Decides which running generations of a step are issued a second time.
 */
public interface StragglerPolicy {

	/**
	 * Returns a policy that issues nothing again.
	 * @return the policy
	 */
	static StragglerPolicy never() {
		return new MedianStragglerPolicy(0, 1, 0);
	}

	/**
	 * Returns a policy that issues a generation again once it has run for a multiple of
	 * the median, when most of the step is done, within a share of the step.
	 * @param slotCount the slots of the step
	 * @param medianMultiple the multiple of the median duration
	 * @param extraShare the largest share of slots that is issued again
	 * @return the policy
	 */
	static StragglerPolicy medianMultiple(int slotCount, double medianMultiple, double extraShare) {
		return new MedianStragglerPolicy(slotCount, medianMultiple, Math.max(1, (int) (slotCount * extraShare)));
	}

	/**
	 * Learns how long a generation took.
	 * @param durationMs the duration, in milliseconds
	 */
	void recordDuration(long durationMs);

	/**
	 * Returns whether a generation is issued again, and counts it if so.
	 * @param elapsedMs how long it has run, in milliseconds
	 * @return true if it is a straggler
	 */
	boolean tryReissue(long elapsedMs);

}
