package org.zinniatack.core.retry;

/**
 * Limits retries to a fraction of the requests, so that retries cannot amplify an
 * overload.
 */
public final class RetryBudget {

	private final double retriesPerRequest;

	private final double capacity;

	private double permits;

	/**
	 * Creates a full budget.
	 * @param retriesPerRequest the retries that each request adds, such as 0.1
	 * @param capacity the largest number of retries that can accumulate
	 */
	public RetryBudget(double retriesPerRequest, double capacity) {
		this.retriesPerRequest = retriesPerRequest;
		this.capacity = capacity;
		this.permits = capacity;
	}

	/**
	 * Adds the share of one request.
	 */
	public void deposit() {
		this.permits = Math.min(this.capacity, this.permits + this.retriesPerRequest);
	}

	/**
	 * Takes one retry if one is available.
	 * @return true if it was taken
	 */
	public boolean tryWithdraw() {
		if (this.permits < 1) {
			return false;
		}
		this.permits--;
		return true;
	}

}
