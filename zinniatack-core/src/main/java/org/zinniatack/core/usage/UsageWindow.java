package org.zinniatack.core.usage;

import java.util.List;

/**
 * A closed usage window and the figures to report for it. The figures never change.
 *
 * @param startMs the start of the window, in milliseconds since the epoch
 * @param endMs the end of the window, in milliseconds since the epoch
 * @param figures the figures in the order of customer, route and lateness
 * @param acknowledged true once the platform has received the report
 */
public record UsageWindow(long startMs, long endMs, List<UsageFigure> figures, boolean acknowledged) {

	/**
	 * Copies the arguments.
	 */
	public UsageWindow {
		figures = List.copyOf(figures);
	}

	/**
	 * Returns a copy that is marked as received by the platform.
	 * @return the acknowledged window
	 */
	public UsageWindow asAcknowledged() {
		return new UsageWindow(this.startMs, this.endMs, this.figures, true);
	}

}
