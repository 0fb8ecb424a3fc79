package org.zinniatack.core.sample;

/**
 * Decides which slow generations of a step are reissued.
 */
public interface StragglerPolicy {

	/**
	 * Returns a policy that never reissues a generation.
	 * @return the policy
	 */
	static StragglerPolicy never() {
		return new MedianStragglerPolicy(0, 1, 0);
	}

	/**
	 * Returns a policy that reissues a generation once it has run for a multiple of the
	 * median duration. It does so only when at least half of the step is finished, and
	 * for a limited share of the slots, at least one.
	 * @param slotCount the number of slots of the step
	 * @param medianMultiple the multiple of the median duration
	 * @param maxReissueShare the largest share of slots that may be reissued, from 0 to 1
	 * @return the policy
	 */
	static StragglerPolicy medianMultiple(int slotCount, double medianMultiple, double maxReissueShare) {
		return new MedianStragglerPolicy(slotCount, medianMultiple, Math.max(1, (int) (slotCount * maxReissueShare)));
	}

	/**
	 * Records how long a finished generation took.
	 * @param durationMs the duration, in milliseconds
	 */
	void recordDuration(long durationMs);

	/**
	 * Returns whether a running generation should be reissued. A reissue uses up part of
	 * the limit.
	 * @param elapsedMs the time that it has run, in milliseconds
	 * @return true if it is a straggler and the limit allows a reissue
	 */
	boolean tryReissue(long elapsedMs);

}
