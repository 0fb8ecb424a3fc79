package org.zinniatack.core.usage;

/**
 * What one customer used on one route.
 *
 * @param customer the name of the customer
 * @param route the name of the route
 * @param requestCount the number of requests that ran
 * @param tokenCount the number of tokens generated
 * @param late true if the use belongs to an earlier window that was already closed
 */
public record UsageFigure(String customer, String route, long requestCount, long tokenCount, boolean late) {

	/**
	 * Returns whether nothing was used.
	 * @return true if both counts are 0
	 */
	public boolean isNothing() {
		return this.requestCount == 0 && this.tokenCount == 0;
	}

	/**
	 * Returns what is left of this figure without another that it includes.
	 * @param other the other figure
	 * @return the difference, as late as this figure
	 */
	public UsageFigure minus(UsageFigure other) {
		return new UsageFigure(this.customer, this.route, this.requestCount - other.requestCount,
				this.tokenCount - other.tokenCount, this.late);
	}

	/**
	 * Returns what is counted.
	 * @return an id that figures of the same customer and route share
	 */
	public String usageKey() {
		return this.customer + '\0' + this.route;
	}

	/**
	 * Returns the sum of two figures of the same customer, route and lateness.
	 * @param other the other figure
	 * @return the sum
	 */
	public UsageFigure plus(UsageFigure other) {
		return new UsageFigure(this.customer, this.route, this.requestCount + other.requestCount,
				this.tokenCount + other.tokenCount, this.late);
	}

	/**
	 * Returns this figure marked as late.
	 * @return the marked figure
	 */
	public UsageFigure markedLate() {
		return new UsageFigure(this.customer, this.route, this.requestCount, this.tokenCount, true);
	}

}
