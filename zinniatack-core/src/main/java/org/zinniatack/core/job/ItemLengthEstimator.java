package org.zinniatack.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many events an item will have, from its caller's hint and from the items
 * of the same model that are done. A hint is right at the median and often far off, so an
 * estimate never exceeds the longest item seen.
 */
public final class ItemLengthEstimator {

	/** The weight of the newest item in the moving means. */
	private static final double NEWEST_WEIGHT = 0.05;

	private final Map<String, Seen> seenByModel = new HashMap<>();

	/**
	 * Learns from an item that is done.
	 * @param model the model
	 * @param hintTokens the caller's hint in tokens, 0 for none
	 * @param events the number of its events
	 */
	public void record(String model, long hintTokens, int events) {
		Seen seen = this.seenByModel.computeIfAbsent(model, (absent) -> new Seen());
		seen.longest = Math.max(seen.longest, events);
		seen.meanEvents = mean(seen.meanEvents, events);
		if (hintTokens > 0) {
			seen.meanHint = mean(seen.meanHint, hintTokens);
		}
	}

	private static double mean(double before, double newest) {
		return (before == 0) ? newest : before * (1 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT;
	}

	/**
	 * Returns the expected length of an item.
	 * @param model the model
	 * @param hintTokens the caller's hint in tokens, 0 for none
	 * @return the number of events, 0 if nothing is known of the model
	 */
	public double expectedEvents(String model, long hintTokens) {
		Seen seen = this.seenByModel.get(model);
		if (seen == null) {
			return 0;
		}
		if (hintTokens <= 0 || seen.meanHint == 0) {
			return seen.meanEvents;
		}
		return Math.min(seen.longest, hintTokens * seen.meanEvents / seen.meanHint);
	}

	/** What was seen of one model. */
	private static final class Seen {

		private int longest;

		private double meanEvents;

		private double meanHint;

	}

}
