package org.zinniatack.gateway.service;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.zinniatack.core.usage.UsageFigure;

/**
 * Counts requests per customer and time window; a request belongs to the window in which
 * a target began to run it.
 */
final class UsageCounter {

	private final long windowMs;

	private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();

	UsageCounter(long windowMs) {
		this.windowMs = windowMs;
	}

	synchronized void count(String customer, long atMs) {
		this.countsByWindow.computeIfAbsent(atMs - Math.floorMod(atMs, this.windowMs), (absent) -> new HashMap<>())
			.merge(customer, 1L, Long::sum);
	}

	/**
	 * Removes and returns the figures of the oldest window, or null if nothing was
	 * counted.
	 */
	synchronized @org.jspecify.annotations.Nullable WindowUsage takeOldestWindow() {
		Map.Entry<Long, Map<String, Long>> oldest = this.countsByWindow.pollFirstEntry();
		if (oldest == null) {
			return null;
		}
		List<UsageFigure> figures = oldest.getValue()
			.entrySet()
			.stream()
			.map((entry) -> new UsageFigure(entry.getKey(), "", entry.getValue(), 0, false))
			.toList();
		return new WindowUsage(oldest.getKey(), figures);
	}

	/**
	 * The usage figures of one window.
	 *
	 * @param startMs the start of the window, in milliseconds since the epoch
	 * @param figures the figures, one per customer
	 */
	record WindowUsage(long startMs, List<UsageFigure> figures) {
	}

}
