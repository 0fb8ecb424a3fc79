package org.zinniatack.core.usage;

/**
 * The usage of one customer on one route.
 *
 * @param customer the name of the customer
 * @param route the name of the route
 * @param requestCount the number of requests that ran
 * @param tokenCount the number of tokens generated
 * @param late true if the usage belongs to an earlier window that was already closed
 */
public record UsageFigure(String customer, String route, long requestCount, long tokenCount, boolean late) {

	/**
	 * Returns whether the figure contains no usage.
	 * @return true if both counts are 0
	 */
	public boolean isNothing() {
		return this.requestCount == 0 && this.tokenCount == 0;
	}

	/**
	 * Subtracts another figure that is included in this one.
	 * @param other the figure to subtract
	 * @return the difference, late if this figure is late
	 */
	public UsageFigure minus(UsageFigure other) {
		return new UsageFigure(this.customer, this.route, this.requestCount - other.requestCount,
				this.tokenCount - other.tokenCount, this.late);
	}

	/**
	 * Returns the key of the customer and route.
	 * @return a key that is equal for figures of the same customer and route
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
