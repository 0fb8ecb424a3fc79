package org.zinniatack.entry;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A simulated clock with an event queue. Time advances only when the next event runs.
 */
final class VirtualTime {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	private long nowMs = 1_000;

	private long nextOrder;

	long nowMs() {
		return this.nowMs;
	}

	void after(long delayMs, Runnable task) {
		this.events.add(new Event(this.nowMs + delayMs, this.nextOrder++, task));
	}

	/** Runs a task at an interval for as long as it returns true. */
	void every(long intervalMs, BooleanSupplier task) {
		after(intervalMs, () -> {
			if (task.getAsBoolean()) {
				every(intervalMs, task);
			}
		});
	}

	void runNext() {
		Event next = this.events.remove();
		this.nowMs = next.atMs();
		next.task().run();
	}

	private record Event(long atMs, long order, Runnable task) {
	}

}
