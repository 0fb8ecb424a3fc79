package org.zinniatack.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many output events an item will have, from the caller's hint and from the
 * finished items of the same model. Hints are accurate at the median but often far off,
 * so an estimate never exceeds the longest item seen.
 */
public final class ItemLengthEstimator {

	/** Weight of the newest item in the exponential moving averages. */
	private static final double NEWEST_ITEM_WEIGHT = 0.05;

	private final Map<String, ModelStats> statsByModel = new HashMap<>();

	/**
	 * Records the length of a finished item.
	 * @param model the model
	 * @param hintTokens the caller's hint in tokens, 0 for none
	 * @param events the number of output events
	 */
	public void recordLength(String model, long hintTokens, int events) {
		ModelStats stats = this.statsByModel.computeIfAbsent(model, (absent) -> new ModelStats());
		stats.longest = Math.max(stats.longest, events);
		stats.meanEvents = updatedMean(stats.meanEvents, events);
		if (hintTokens > 0) {
			stats.meanHint = updatedMean(stats.meanHint, hintTokens);
		}
	}

	private static double updatedMean(double current, double newest) {
		return (current == 0) ? newest : current * (1 - NEWEST_ITEM_WEIGHT) + newest * NEWEST_ITEM_WEIGHT;
	}

	/**
	 * Returns the expected length of an item.
	 * @param model the model
	 * @param hintTokens the caller's hint in tokens, 0 for none
	 * @return the number of events, 0 if no item of the model has finished
	 */
	public double expectedEvents(String model, long hintTokens) {
		ModelStats stats = this.statsByModel.get(model);
		if (stats == null) {
			return 0;
		}
		if (hintTokens <= 0 || stats.meanHint == 0) {
			return stats.meanEvents;
		}
		return Math.min(stats.longest, hintTokens * stats.meanEvents / stats.meanHint);
	}

	/**
	 * Returns whether the expected length of an item grows with its hint. Among the items
	 * of a model for which it does not, all with a hint have the same expected length.
	 * @param model the model
	 * @param hintTokens the caller's hint in tokens, 0 for none
	 * @return true if it grows; never true for a longer hint if not for a shorter one
	 */
	public boolean dependsOnHint(String model, long hintTokens) {
		ModelStats stats = this.statsByModel.get(model);
		return stats != null && hintTokens > 0 && stats.meanHint != 0
				&& hintTokens * stats.meanEvents / stats.meanHint < stats.longest;
	}

	/** Length statistics of one model. */
	private static final class ModelStats {

		private int longest;

		private double meanEvents;

		private double meanHint;

	}

}
