package org.zinniatack.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the token cost of a request from what its customer's requests on the route
 * cost before, since callers do not say.
 */
public final class CostEstimator {

	private static final double SMOOTHING = 0.1;

	private static final double FIRST_ESTIMATE_TOKENS = 256;

	private static final int PAIRS_KEPT = 8192;

	private final Map<Pair, Double> averages = new LinkedHashMap<>();

	/**
	 * Returns the expected cost of a request.
	 * @param customer the customer
	 * @param route the route
	 * @param maximumTokens the bound that the request states, 0 if it states none
	 * @return the cost, in tokens
	 */
	public double estimateTokens(String customer, String route, long maximumTokens) {
		double average = this.averages.getOrDefault(new Pair(customer, route), FIRST_ESTIMATE_TOKENS);
		return (maximumTokens > 0) ? Math.min(maximumTokens, average) : average;
	}

	/**
	 * Learns what a request cost.
	 * @param customer the customer
	 * @param route the route
	 * @param tokenCount its cost, in tokens
	 */
	public void recordCost(String customer, String route, long tokenCount) {
		this.averages.merge(new Pair(customer, route), (double) Math.max(1, tokenCount),
				(average, observed) -> average + SMOOTHING * (observed - average));
		if (this.averages.size() > PAIRS_KEPT) {
			this.averages.remove(this.averages.keySet().iterator().next());
		}
	}

	private record Pair(String customer, String route) {
	}

}
