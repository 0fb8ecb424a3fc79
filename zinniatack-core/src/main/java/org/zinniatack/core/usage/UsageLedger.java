package org.zinniatack.core.usage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Replicated record of the usage of all customers by time window. A window is closed
 * once. Usage that arrives for it later is counted in the open window and marked late.
 * Each source numbers its reports, so a repeated report counts once, even if backups
 * reported parts of it first because the source seemed lost.
 */
public final class UsageLedger {

	private static final int MAX_SOURCES = 16_384;

	private static final int RETAINED_WINDOWS = 64;

	private final Map<String, Long> lastSequences = new LinkedHashMap<>();

	private EarlyUsageParts parts = new EarlyUsageParts();

	private final Map<Long, Map<String, UsageFigure>> openFigures = new TreeMap<>();

	private final TreeMap<Long, UsageWindow> closedWindows = new TreeMap<>();

	private long closedUntilMs;

	/**
	 * Restores a ledger from its stored form.
	 * @param image the stored form
	 * @return the ledger
	 */
	public static UsageLedger of(Image image) {
		UsageLedger ledger = new UsageLedger();
		ledger.lastSequences.putAll(image.lastSequences());
		ledger.closedUntilMs = image.closedUntilMs();
		ledger.parts = EarlyUsageParts.of(image.parts());
		image.openFigures().forEach((open) -> open.figures().forEach((figure) -> ledger.add(open.startMs(), figure)));
		image.closedWindows().forEach((window) -> ledger.closedWindows.put(window.startMs(), window));
		return ledger;
	}

	/**
	 * Marks the report of a window as received by the platform.
	 * @param startMs the start of the window, in milliseconds since the epoch
	 */
	public void acknowledge(long startMs) {
		this.closedWindows.computeIfPresent(startMs, (start, window) -> window.asAcknowledged());
		while (this.closedWindows.size() > RETAINED_WINDOWS
				&& this.closedWindows.firstEntry().getValue().acknowledged()) {
			this.closedWindows.pollFirstEntry();
		}
	}

	/**
	 * Closes a window, unless it or a later one is already closed.
	 * @param startMs the start of the window, in milliseconds since the epoch
	 * @param endMs the end of the window, in milliseconds since the epoch
	 */
	public void close(long startMs, long endMs) {
		if (startMs < this.closedUntilMs) {
			return;
		}
		Map<String, UsageFigure> sum = new TreeMap<>();
		this.openFigures.entrySet().removeIf((open) -> {
			boolean closesNow = open.getKey() < endMs;
			if (closesNow) {
				open.getValue().values().forEach((figure) -> merge(sum, figure));
			}
			return closesNow;
		});
		this.closedWindows.put(startMs, new UsageWindow(startMs, endMs, List.copyOf(sum.values()), false));
		this.closedUntilMs = endMs;
	}

	/**
	 * Returns the end of the newest closed window.
	 * @return the end in milliseconds since the epoch, 0 if no window is closed
	 */
	public long closedUntilMs() {
		return this.closedUntilMs;
	}

	/**
	 * Returns the closed windows that are retained.
	 * @return the windows, oldest first
	 */
	public List<UsageWindow> closedWindows() {
		return List.copyOf(this.closedWindows.values());
	}

	/**
	 * Returns the stored form.
	 * @return the image
	 */
	public Image image() {
		List<OpenFigures> open = new ArrayList<>();
		this.openFigures
			.forEach((startMs, figures) -> open.add(new OpenFigures(startMs, List.copyOf(figures.values()))));
		return new Image(new LinkedHashMap<>(this.lastSequences), open, closedWindows(), this.closedUntilMs,
				this.parts.image());
	}

	/**
	 * Returns the oldest closed window whose report the platform has not received.
	 * @return the window, or empty if all reports were received
	 */
	public Optional<UsageWindow> oldestUnacknowledged() {
		return this.closedWindows.values().stream().filter((window) -> !window.acknowledged()).findFirst();
	}

	/**
	 * Counts a usage report, unless it was counted before.
	 * @param source the id of the reporting process, new each time it starts
	 * @param sequence the number of the report, increasing for each source
	 * @param startMs the start of the usage window, in milliseconds since the epoch
	 * @param figures the figures
	 */
	public void record(String source, long sequence, long startMs, List<UsageFigure> figures) {
		if (sequence <= this.lastSequences.getOrDefault(source, 0L)) {
			return;
		}
		this.lastSequences.remove(source);
		this.lastSequences.put(source, sequence);
		if (this.lastSequences.size() > MAX_SOURCES) {
			this.lastSequences.remove(this.lastSequences.keySet().iterator().next());
		}
		count(startMs, this.parts.subtractFrom(source, sequence, figures));
	}

	/**
	 * Counts part of a report that has not arrived, unless it was counted before.
	 * @param part the part that a backup held
	 */
	public void record(UsagePart part) {
		if (part.sequence() > this.lastSequences.getOrDefault(part.source(), 0L) && this.parts.add(part)) {
			count(part.windowStartMs(), part.figures());
		}
	}

	private void count(long startMs, List<UsageFigure> figures) {
		boolean late = startMs < this.closedUntilMs;
		long countedStartMs = Math.max(startMs, this.closedUntilMs);
		figures.forEach((figure) -> add(countedStartMs, late ? figure.markedLate() : figure));
	}

	private void add(long startMs, UsageFigure figure) {
		merge(this.openFigures.computeIfAbsent(startMs, (absent) -> new TreeMap<>()), figure);
	}

	private static void merge(Map<String, UsageFigure> figures, UsageFigure figure) {
		figures.merge(figure.usageKey() + '\0' + figure.late(), figure, UsageFigure::plus);
	}

	/**
	 * The figures of an open window.
	 *
	 * @param startMs the start of the window, in milliseconds since the epoch
	 * @param figures the figures
	 */
	public record OpenFigures(long startMs, List<UsageFigure> figures) {
	}

	/**
	 * The stored form of a ledger.
	 *
	 * @param lastSequences the number of the last counted report by source
	 * @param openFigures the figures of open windows
	 * @param closedWindows the closed windows that are retained
	 * @param closedUntilMs the end of the newest closed window
	 * @param parts the parts that were counted before their reports
	 */
	public record Image(Map<String, Long> lastSequences, List<OpenFigures> openFigures, List<UsageWindow> closedWindows,
			long closedUntilMs, List<UsagePart> parts) {

		/**
		 * Reads images without parts, as stored by earlier versions, as having none.
		 */
		public Image {
			parts = Objects.requireNonNullElse(parts, List.of());
		}

	}

}
