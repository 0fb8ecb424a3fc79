package org.zinniatack.bench;

import java.util.List;

/**
 * Straight line fitted to measured points by least squares.
 *
 * @param intercept the value at x = 0
 * @param slope the increase of y per unit of x
 * @param correlation the correlation coefficient of x and y, from -1 to 1
 */
record LinearFit(double intercept, double slope, double correlation) {

	/** Fits a line to points, each given as x and y. */
	static LinearFit of(List<double[]> points) {
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
		return new LinearFit(meanY - slope * meanX, slope, (yy > 0) ? xy / Math.sqrt(xx * yy) : 1);
	}

	double valueAt(double x) {
		return this.intercept + this.slope * x;
	}

}
