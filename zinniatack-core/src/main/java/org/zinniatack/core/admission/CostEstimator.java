package org.zinniatack.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the token cost of a request by an exponential moving average over earlier
 * requests of the same customer on the same route. Callers do not state the cost.
 */
public final class CostEstimator {

	private static final double SMOOTHING = 0.1;

	private static final double INITIAL_ESTIMATE_TOKENS = 256;

	/** Bounds memory: the pair that was added first is evicted. */
	private static final int MAXIMUM_PAIRS = 8192;

	private final Map<CustomerRoute, Double> averageTokens = new LinkedHashMap<>();

	/**
	 * Returns the expected cost of a request.
	 * @param customer the customer
	 * @param route the route
	 * @param maximumTokens the token limit of the request, 0 if it has none
	 * @return the expected cost, in tokens
	 */
	public double estimateTokens(String customer, String route, long maximumTokens) {
		double average = this.averageTokens.getOrDefault(new CustomerRoute(customer, route), INITIAL_ESTIMATE_TOKENS);
		return (maximumTokens > 0) ? Math.min(maximumTokens, average) : average;
	}

	/**
	 * Updates the average with the actual cost of a request.
	 * @param customer the customer
	 * @param route the route
	 * @param tokenCount its cost, in tokens
	 */
	public void recordCost(String customer, String route, long tokenCount) {
		this.averageTokens.merge(new CustomerRoute(customer, route), (double) Math.max(1, tokenCount),
				(average, observed) -> average + SMOOTHING * (observed - average));
		if (this.averageTokens.size() > MAXIMUM_PAIRS) {
			this.averageTokens.remove(this.averageTokens.keySet().iterator().next());
		}
	}

	private record CustomerRoute(String customer, String route) {
	}

}
