package org.zinniatack.direct.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.zinniatack.core.usage.UsageFigure;

/**
 * Counts the requests of each customer by the window in which a target began to run them.
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

	/** Takes the figures of the oldest window that has any, or returns null. */
	synchronized @org.jspecify.annotations.Nullable Counted take() {
		Map.Entry<Long, Map<String, Long>> oldest = this.countsByWindow.pollFirstEntry();
		if (oldest == null) {
			return null;
		}
		List<UsageFigure> figures = oldest.getValue()
			.entrySet()
			.stream()
			.map((entry) -> new UsageFigure(entry.getKey(), "", entry.getValue(), 0, false))
			.toList();
		return new Counted(oldest.getKey(), figures);
	}

	/**
	 * What was counted for a window.
	 *
	 * @param startMs the start of the window, in milliseconds since the epoch
	 * @param figures the figures
	 */
	record Counted(long startMs, List<UsageFigure> figures) {
	}

}
