package org.zinniatack.bench;

import java.util.List;

/**
 * A straight line through measured points.
 *
 * @param intercept the value at 0
 * @param slope the growth for each unit
 * @param correlation how well the line fits, 1 for perfectly
 */
record Fit(double intercept, double slope, double correlation) {

	/** Returns the line of least squares. */
	static Fit of(List<double[]> points) {
		double meanX = points.stream().mapToDouble((point) -> point[0]).average().orElse(0);
		double meanY = points.stream().mapToDouble((point) -> point[1]).average().orElse(0);
		double xx = 0;
		double xy = 0;
		double yy = 0;
		for (double[] point : points) {
			xx += (point[0] - meanX) * (point[0] - meanX);
			xy += (point[0] - meanX) * (point[1] - meanY);
			yy += (point[1] - meanY) * (point[1] - meanY);
		}
		double slope = xy / xx;
		return new Fit(meanY - slope * meanX, slope, (yy > 0) ? xy / Math.sqrt(xx * yy) : 1);
	}

	double at(double x) {
		return this.intercept + this.slope * x;
	}

}
