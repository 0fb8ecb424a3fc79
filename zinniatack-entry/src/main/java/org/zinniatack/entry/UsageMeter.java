package org.zinniatack.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.wire.Message;

/**
 * Counts use and holds it until control has it. Reports are numbered and sent one at a
 * time, so each counts once however often it is sent. Each use is also left with a backup
 * agent, which reports it if this process is lost before it does.
 */
final class UsageMeter {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final String source = UUID.randomUUID().toString();

	private final long windowMs;

	private final long intervalMs;

	private final LongSupplier wallClockMs;

	private final Proposer control;

	private final LongConsumer released;

	private final Map<Long, Report> counting = new TreeMap<>();

	private final Deque<Command.RecordUsage> unsent = new ArrayDeque<>();

	private long nextSequence = 1;

	private long closedAtMs;

	private boolean sending;

	/**
	 * Returns a meter that has counted nothing.
	 * @param windowMs the length of a usage window, in milliseconds
	 * @param intervalMs the longest time for which use is counted before it is sent, in
	 * milliseconds
	 * @param wallClockMs the milliseconds since the epoch
	 * @param control where reports are sent
	 * @param released who learns the number of each report that control has
	 */
	UsageMeter(long windowMs, long intervalMs, LongSupplier wallClockMs, Proposer control, LongConsumer released) {
		this.windowMs = windowMs;
		this.intervalMs = intervalMs;
		this.wallClockMs = wallClockMs;
		this.control = control;
		this.released = released;
		this.closedAtMs = wallClockMs.getAsLong();
	}

	/** Returns the id under which this meter counts, new at each start. */
	String source() {
		return this.source;
	}

	/** Counts a request that ran and leaves it with a backup agent. */
	synchronized void count(String customer, String route, long tokenCount, Consumer<Message> backup) {
		long startMs = windowStartMs();
		UsageFigure figure = new UsageFigure(customer, route, 1, tokenCount, false);
		Report report = this.counting.computeIfAbsent(startMs, (absent) -> new Report(this.nextSequence++));
		report.figures().merge(figure.usageKey(), figure, UsageFigure::plus);
		backup.accept(new Message.UsageNote(this.source, report.sequence(), startMs, figure));
	}

	private long windowStartMs() {
		long nowMs = this.wallClockMs.getAsLong();
		return nowMs - Math.floorMod(nowMs, this.windowMs);
	}

	/** Closes the reports that are due, and sends what control has not acknowledged. */
	void tend() {
		synchronized (this) {
			if (isDue()) {
				closeReports();
			}
		}
		send();
	}

	private boolean isDue() {
		boolean windowEnded = this.counting.keySet().stream().anyMatch((startMs) -> startMs < windowStartMs());
		return windowEnded || this.wallClockMs.getAsLong() - this.closedAtMs >= this.intervalMs;
	}

	/** Closes all reports and sends them. */
	void flush() {
		synchronized (this) {
			closeReports();
		}
		send();
	}

	private void send() {
		Command.RecordUsage next;
		synchronized (this) {
			if (this.sending || this.unsent.isEmpty()) {
				return;
			}
			this.sending = true;
			next = this.unsent.peek();
		}
		this.control.propose(next).whenComplete((reply, failure) -> acknowledged(failure == null));
	}

	private void closeReports() {
		this.closedAtMs = this.wallClockMs.getAsLong();
		this.counting.entrySet()
			.stream()
			.map((counted) -> new Command.RecordUsage(this.source, counted.getValue().sequence(), counted.getKey(),
					new ArrayList<>(counted.getValue().figures().values())))
			.sorted(Comparator.comparingLong(Command.RecordUsage::sequence))
			.forEach(this.unsent::add);
		this.counting.clear();
	}

	private void acknowledged(boolean counted) {
		synchronized (this) {
			this.sending = false;
			if (!counted) {
				LOGGER.atWarning().log("event=usage_held reports=%d", this.unsent.size());
				return;
			}
			this.released.accept(this.unsent.remove().sequence());
		}
		send();
	}

	synchronized boolean isEmpty() {
		return this.counting.isEmpty() && this.unsent.isEmpty();
	}

	/** Returns the number of reports that control does not have. */
	synchronized int heldCount() {
		return this.counting.size() + this.unsent.size();
	}

	/**
	 * A report that still grows.
	 *
	 * @param sequence the number of the report
	 * @param figures the figures by customer and route
	 */
	private record Report(long sequence, Map<String, UsageFigure> figures) {

		Report(long sequence) {
			this(sequence, new TreeMap<>());
		}

	}

}
