package org.zinniatack.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.usage.UsageFigure;

/**
 * Counts use and holds it until control has it. Reports are numbered and sent one at a
 * time, so each counts once however often it is sent.
 */
final class UsageMeter {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final String source = UUID.randomUUID().toString();

	private final long windowMs;

	private final LongSupplier wallClockMs;

	private final Proposer control;

	private final Map<Long, Map<String, UsageFigure>> counting = new TreeMap<>();

	private final Deque<Command.RecordUsage> unsent = new ArrayDeque<>();

	private long nextSequence = 1;

	private boolean sending;

	UsageMeter(long windowMs, LongSupplier wallClockMs, Proposer control) {
		this.windowMs = windowMs;
		this.wallClockMs = wallClockMs;
		this.control = control;
	}

	synchronized void count(String customer, String route, long tokenCount) {
		long nowMs = this.wallClockMs.getAsLong();
		long startMs = nowMs - Math.floorMod(nowMs, this.windowMs);
		this.counting.computeIfAbsent(startMs, (absent) -> new TreeMap<>())
			.merge(customer + '\0' + route, new UsageFigure(customer, route, 1, tokenCount, false), UsageFigure::plus);
	}

	/** Sends what was counted, if the last report is acknowledged. */
	void flush() {
		Command.RecordUsage next;
		synchronized (this) {
			this.counting.forEach((startMs, figures) -> this.unsent.add(new Command.RecordUsage(this.source,
					this.nextSequence++, startMs, new ArrayList<>(figures.values()))));
			this.counting.clear();
			if (this.sending || this.unsent.isEmpty()) {
				return;
			}
			this.sending = true;
			next = this.unsent.peek();
		}
		this.control.propose(next).whenComplete((reply, failure) -> acknowledged(failure == null));
	}

	private void acknowledged(boolean counted) {
		synchronized (this) {
			this.sending = false;
			if (counted) {
				this.unsent.poll();
			}
			else {
				LOGGER.atWarning().log("event=usage_held reports=%d", this.unsent.size());
				return;
			}
		}
		flush();
	}

	synchronized boolean isEmpty() {
		return this.counting.isEmpty() && this.unsent.isEmpty();
	}

	synchronized List<Command.RecordUsage> held() {
		return List.copyOf(this.unsent);
	}

}
