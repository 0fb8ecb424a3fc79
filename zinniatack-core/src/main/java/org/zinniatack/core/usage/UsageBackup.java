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
 * Holds what the sources of use told it until they say that it is counted. What a source
 * that stays lost has left is due to be reported by the backup. Not safe for concurrent
 * use.
 */
public final class UsageBackup {

	private final String backupId;

	private final long lossDelayMs;

	private final Map<String, Held> bySource = new LinkedHashMap<>();

	private long nextPart = 1;

	/**
	 * Returns a backup that holds nothing.
	 * @param backupId the id of the backup, new at each of its starts
	 * @param lossDelayMs the time after which a source that does not return counts as
	 * lost, in milliseconds
	 */
	public UsageBackup(String backupId, long lossDelayMs) {
		this.backupId = Objects.requireNonNull(backupId, "backupId");
		this.lossDelayMs = lossDelayMs;
	}

	/**
	 * Returns a part to report now. It stays due until it is settled or released.
	 * @param nowMs the present time in milliseconds
	 * @return the part, or empty if none is due
	 */
	public Optional<UsagePart> nextDuePart(long nowMs) {
		return this.bySource.entrySet()
			.stream()
			.filter((held) -> held.getValue().isLost(nowMs - this.lossDelayMs))
			.map((held) -> firstPart(held.getKey(), held.getValue()))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private Optional<UsagePart> firstPart(String source, Held held) {
		held.open.forEach((sequence, report) -> held.parts
			.add(new UsagePart(source, sequence, this.backupId + '/' + this.nextPart++, report.windowStartMs,
					new ArrayList<>(report.figures.values()))));
		held.open.clear();
		return Optional.ofNullable(held.parts.peek());
	}

	/**
	 * Returns whether something is held of a source that is not connected.
	 * @return true if the backup may have to report it
	 */
	public boolean hasDisconnectedSource() {
		return this.bySource.values().stream().anyMatch((held) -> held.lostAtMs != null);
	}

	/**
	 * Returns how many reports are held in part.
	 * @return the number of reports, 0 if all is counted
	 */
	public int heldReportCount() {
		return this.bySource.values().stream().mapToInt((held) -> held.open.size() + held.parts.size()).sum();
	}

	/**
	 * Learns that the connection to a source is closed.
	 * @param source the id of the source
	 * @param nowMs the present time in milliseconds
	 */
	public void sourceDisconnected(String source, long nowMs) {
		Held held = this.bySource.get(source);
		if (held != null) {
			held.lostAtMs = nowMs;
		}
	}

	/**
	 * Takes over a use.
	 * @param source the id of the source
	 * @param sequence the number of the source's report that will count it
	 * @param windowStartMs the start of the window, in milliseconds since the epoch
	 * @param figure the use
	 */
	public void hold(String source, long sequence, long windowStartMs, UsageFigure figure) {
		Held held = this.bySource.computeIfAbsent(source, (absent) -> new Held());
		held.lostAtMs = null;
		held.open.computeIfAbsent(sequence, (absent) -> new Report(windowStartMs)).figures.merge(figure.usageKey(),
				figure, UsageFigure::plus);
	}

	/**
	 * Learns that a source has brought its reports before control.
	 * @param source the id of the source
	 * @param sequence the number of the newest of these reports
	 */
	public void releaseThrough(String source, long sequence) {
		Held held = this.bySource.get(source);
		if (held != null) {
			held.open.headMap(sequence, true).clear();
			held.parts.removeIf((part) -> part.sequence() <= sequence);
			forgetIfEmpty(source, held);
		}
	}

	/**
	 * Learns that a source is connected.
	 * @param source the id of the source
	 */
	public void sourceConnected(String source) {
		Held held = this.bySource.get(source);
		if (held != null) {
			held.lostAtMs = null;
		}
	}

	/**
	 * Learns that control has a part.
	 * @param part the part
	 */
	public void acknowledge(UsagePart part) {
		Held held = this.bySource.get(part.source());
		if (held != null) {
			held.parts.remove(part);
			forgetIfEmpty(part.source(), held);
		}
	}

	private void forgetIfEmpty(String source, Held held) {
		if (held.open.isEmpty() && held.parts.isEmpty()) {
			this.bySource.remove(source);
		}
	}

	/** What is held of one source. */
	private static final class Held {

		private final TreeMap<Long, Report> open = new TreeMap<>();

		private final Deque<UsagePart> parts = new ArrayDeque<>();

		private @Nullable Long lostAtMs;

		private boolean isLost(long sinceMs) {
			return this.lostAtMs != null && this.lostAtMs <= sinceMs;
		}

	}

	/** The part of a report that still grows. */
	private static final class Report {

		private final long windowStartMs;

		private final Map<String, UsageFigure> figures = new TreeMap<>();

		Report(long windowStartMs) {
			this.windowStartMs = windowStartMs;
		}

	}

}
