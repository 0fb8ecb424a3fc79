package org.zinniatack.core.usage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Holds copies of the usage that other processes, its sources, have counted but not yet
 * reported. A source releases its usage once it is reported. If a source stays
 * disconnected, the usage it left becomes due and is reported in its place. Not safe for
 * concurrent use.
 */
public final class UsageBackup {

	private final String backupId;

	private final long lossDelayMs;

	private final Map<String, SourceUsage> bySource = new LinkedHashMap<>();

	private long nextPart = 1;

	/**
	 * Creates a backup that holds no usage.
	 * @param backupId the id of the backup, new each time its process starts
	 * @param lossDelayMs the time after which a source that does not return counts as
	 * lost, in milliseconds
	 */
	public UsageBackup(String backupId, long lossDelayMs) {
		this.backupId = Objects.requireNonNull(backupId, "backupId");
		this.lossDelayMs = lossDelayMs;
	}

	/**
	 * Returns a part to report now. It stays due until it is acknowledged or released.
	 * @param nowMs the present time in milliseconds
	 * @return the part, or empty if none is due
	 */
	public Optional<UsagePart> nextDuePart(long nowMs) {
		return this.bySource.entrySet()
			.stream()
			.filter((held) -> held.getValue().isLost(nowMs - this.lossDelayMs))
			.map((held) -> firstDuePart(held.getKey(), held.getValue()))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private Optional<UsagePart> firstDuePart(String source, SourceUsage held) {
		held.openReports.forEach((sequence, report) -> held.parts
			.add(new UsagePart(source, sequence, this.backupId + '/' + this.nextPart++, report.windowStartMs,
					new ArrayList<>(report.figures.values()))));
		held.openReports.clear();
		return Optional.ofNullable(held.parts.peek());
	}

	/**
	 * Returns whether usage is held of a source that is disconnected.
	 * @return true if the backup may have to report it
	 */
	public boolean hasDisconnectedSource() {
		return this.bySource.values().stream().anyMatch((held) -> held.disconnectedAtMs != null);
	}

	/**
	 * Returns the number of reports of which a part is held.
	 * @return the number of reports, 0 if nothing is held
	 */
	public int heldReportCount() {
		return this.bySource.values().stream().mapToInt((held) -> held.openReports.size() + held.parts.size()).sum();
	}

	/**
	 * Records that the connection to a source was closed.
	 * @param source the id of the source
	 * @param nowMs the present time in milliseconds
	 */
	public void sourceDisconnected(String source, long nowMs) {
		SourceUsage held = this.bySource.get(source);
		if (held != null) {
			held.disconnectedAtMs = nowMs;
		}
	}

	/**
	 * Adds a use to the usage held of a source, which counts as connected from now on.
	 * @param source the id of the source
	 * @param sequence the number of the source's report that will count it
	 * @param windowStartMs the start of the window, in milliseconds since the epoch
	 * @param figure the usage
	 */
	public void hold(String source, long sequence, long windowStartMs, UsageFigure figure) {
		SourceUsage held = this.bySource.computeIfAbsent(source, (absent) -> new SourceUsage());
		held.disconnectedAtMs = null;
		held.openReports.computeIfAbsent(sequence, (absent) -> new OpenReport(windowStartMs)).figures
			.merge(figure.usageKey(), figure, UsageFigure::plus);
	}

	/**
	 * Drops the usage of reports that the source has delivered to the control process.
	 * @param source the id of the source
	 * @param sequence the number of the newest delivered report
	 */
	public void releaseThrough(String source, long sequence) {
		SourceUsage held = this.bySource.get(source);
		if (held != null) {
			held.openReports.headMap(sequence, true).clear();
			held.parts.removeIf((part) -> part.sequence() <= sequence);
			removeIfEmpty(source, held);
		}
	}

	/**
	 * Records that a source is connected.
	 * @param source the id of the source
	 */
	public void sourceConnected(String source) {
		SourceUsage held = this.bySource.get(source);
		if (held != null) {
			held.disconnectedAtMs = null;
		}
	}

	/**
	 * Drops a part that was delivered to the control process.
	 * @param part the part
	 */
	public void acknowledgePart(UsagePart part) {
		SourceUsage held = this.bySource.get(part.source());
		if (held != null) {
			held.parts.remove(part);
			removeIfEmpty(part.source(), held);
		}
	}

	private void removeIfEmpty(String source, SourceUsage held) {
		if (held.openReports.isEmpty() && held.parts.isEmpty()) {
			this.bySource.remove(source);
		}
	}

	/** The usage held of one source. */
	private static final class SourceUsage {

		private final TreeMap<Long, OpenReport> openReports = new TreeMap<>();

		private final Deque<UsagePart> parts = new ArrayDeque<>();

		private @Nullable Long disconnectedAtMs;

		private boolean isLost(long latestMs) {
			return this.disconnectedAtMs != null && this.disconnectedAtMs <= latestMs;
		}

	}

	/** A report of a source to which usage may still be added. */
	private static final class OpenReport {

		private final long windowStartMs;

		private final Map<String, UsageFigure> figures = new TreeMap<>();

		OpenReport(long windowStartMs) {
			this.windowStartMs = windowStartMs;
		}

	}

}
