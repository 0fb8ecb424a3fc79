package org.zinniatack.core.retry;

/**
 * Bounds retries to a share of requests, so that they cannot multiply an overload.
 */
public final class RetryBudget {

	private final double sharePerRequest;

	private final double capacity;

	private double permits;

	/**
	 * Returns a full budget.
	 * @param sharePerRequest the retries that each request earns, such as 0.1
	 * @param capacity the largest number of saved retries
	 */
	public RetryBudget(double sharePerRequest, double capacity) {
		this.sharePerRequest = sharePerRequest;
		this.capacity = capacity;
		this.permits = capacity;
	}

	/**
	 * Earns the share of one request.
	 */
	public void deposit() {
		this.permits = Math.min(this.capacity, this.permits + this.sharePerRequest);
	}

	/**
	 * Takes one retry if the budget has one.
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
