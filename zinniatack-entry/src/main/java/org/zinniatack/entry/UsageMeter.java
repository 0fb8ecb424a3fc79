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
 * Counts usage and keeps it until the control processes acknowledge it. Reports are
 * numbered and sent one at a time, so that a report counts once even if it is sent
 * repeatedly. Each usage is also sent to a backup agent, which reports it if this process
 * is lost first.
 */
final class UsageMeter {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final String source = UUID.randomUUID().toString();

	private final long windowMs;

	private final long intervalMs;

	private final LongSupplier wallClockMs;

	private final Proposer control;

	private final LongConsumer releaseListener;

	private final Map<Long, OpenReport> openReports = new TreeMap<>();

	private final Deque<Command.RecordUsage> unacknowledged = new ArrayDeque<>();

	private long nextSequence = 1;

	private long lastClosedAtMs;

	private boolean sending;

	/**
	 * Creates a meter that has counted nothing.
	 * @param windowMs the length of a usage window, in milliseconds
	 * @param intervalMs the longest time for which usage is counted before it is sent, in
	 * milliseconds
	 * @param wallClockMs the wall clock, in milliseconds since the epoch
	 * @param control sends the reports to the control processes
	 * @param releaseListener receives the sequence number of each acknowledged report
	 */
	UsageMeter(long windowMs, long intervalMs, LongSupplier wallClockMs, Proposer control,
			LongConsumer releaseListener) {
		this.windowMs = windowMs;
		this.intervalMs = intervalMs;
		this.wallClockMs = wallClockMs;
		this.control = control;
		this.releaseListener = releaseListener;
		this.lastClosedAtMs = wallClockMs.getAsLong();
	}

	/** Returns the id of this meter, new at each start of the process. */
	String source() {
		return this.source;
	}

	/** Counts a request that ran and sends a copy of its usage to a backup agent. */
	synchronized void count(String customer, String route, long tokenCount, Consumer<Message> backup) {
		long startMs = windowStartMs();
		UsageFigure figure = new UsageFigure(customer, route, 1, tokenCount, false);
		OpenReport report = this.openReports.computeIfAbsent(startMs, (absent) -> new OpenReport(this.nextSequence++));
		report.figures().merge(figure.usageKey(), figure, UsageFigure::plus);
		backup.accept(new Message.UsageNote(this.source, report.sequence(), startMs, figure));
	}

	private long windowStartMs() {
		long nowMs = this.wallClockMs.getAsLong();
		return nowMs - Math.floorMod(nowMs, this.windowMs);
	}

	/** Closes the open reports if they are due and sends unacknowledged reports. */
	void sendDueReports() {
		synchronized (this) {
			if (isDue()) {
				closeReports();
			}
		}
		sendNext();
	}

	private boolean isDue() {
		boolean windowEnded = this.openReports.keySet().stream().anyMatch((startMs) -> startMs < windowStartMs());
		return windowEnded || this.wallClockMs.getAsLong() - this.lastClosedAtMs >= this.intervalMs;
	}

	/** Closes the open reports and sends all unacknowledged ones. */
	void flush() {
		synchronized (this) {
			closeReports();
		}
		sendNext();
	}

	private void sendNext() {
		Command.RecordUsage next;
		synchronized (this) {
			if (this.sending || this.unacknowledged.isEmpty()) {
				return;
			}
			this.sending = true;
			next = this.unacknowledged.peek();
		}
		this.control.propose(next).whenComplete((reply, failure) -> onReply(failure == null));
	}

	private void closeReports() {
		this.lastClosedAtMs = this.wallClockMs.getAsLong();
		this.openReports.entrySet()
			.stream()
			.map((open) -> new Command.RecordUsage(this.source, open.getValue().sequence(), open.getKey(),
					new ArrayList<>(open.getValue().figures().values())))
			.sorted(Comparator.comparingLong(Command.RecordUsage::sequence))
			.forEach(this.unacknowledged::add);
		this.openReports.clear();
	}

	private void onReply(boolean acknowledged) {
		synchronized (this) {
			this.sending = false;
			if (!acknowledged) {
				LOGGER.atWarning().log("event=usage_held reports=%d", this.unacknowledged.size());
				return;
			}
			this.releaseListener.accept(this.unacknowledged.remove().sequence());
		}
		sendNext();
	}

	synchronized boolean isEmpty() {
		return this.openReports.isEmpty() && this.unacknowledged.isEmpty();
	}

	/** Returns the number of reports that are not acknowledged. */
	synchronized int heldCount() {
		return this.openReports.size() + this.unacknowledged.size();
	}

	/**
	 * A report to which usage may still be added.
	 *
	 * @param sequence the sequence number of the report
	 * @param figures the figures by customer and route
	 */
	private record OpenReport(long sequence, Map<String, UsageFigure> figures) {

		OpenReport(long sequence) {
			this(sequence, new TreeMap<>());
		}

	}

}
