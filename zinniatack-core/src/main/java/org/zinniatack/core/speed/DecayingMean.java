package org.zinniatack.core.speed;

/**
 * A mean in which a value loses weight with its age. The order in which values are added
 * does not matter, because each counts by its own time.
 *
 * @param timeConstantMs the age at which the weight of a value has fallen to 1/e, in
 * milliseconds
 * @param sum the weighted sum at the time of the newest value
 * @param weight the sum of the weights at that time, in values
 * @param newestAtMs the monotonic time of the newest value, in milliseconds
 */
record DecayingMean(double timeConstantMs, double sum, double weight, long newestAtMs) {

	static DecayingMean empty(double timeConstantMs) {
		return new DecayingMean(timeConstantMs, 0, 0, Long.MIN_VALUE / 2);
	}

	/** Returns the mean with one more value. */
	DecayingMean with(double value, long atMs) {
		long newestMs = Math.max(atMs, this.newestAtMs);
		double kept = decay(newestMs - this.newestAtMs);
		double added = decay(newestMs - atMs);
		return new DecayingMean(this.timeConstantMs, this.sum * kept + value * added, this.weight * kept + added,
				newestMs);
	}

	/** Returns the mean, or 0 without values. */
	double mean() {
		return (this.weight > 0) ? this.sum / this.weight : 0;
	}

	/** Returns the weight that the values have at a time, in values. */
	double weightAt(long nowMs) {
		return this.weight * decay(Math.max(0, nowMs - this.newestAtMs));
	}

	/** Returns the mean, with a prior that counts as a number of values. */
	double meanWithPrior(double prior, double priorWeight, long nowMs) {
		double current = weightAt(nowMs);
		return (mean() * current + prior * priorWeight) / (current + priorWeight);
	}

	private double decay(long ageMs) {
		return Math.exp(-ageMs / this.timeConstantMs);
	}

}
