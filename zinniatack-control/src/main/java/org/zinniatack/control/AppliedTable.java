package org.zinniatack.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.wire.StateCodec;

/**
 * The routing table as of an index of the log. A read waits until no entry up to its
 * index can change the table any more, and for no other change or read of the state.
 */
final class AppliedTable {

	private final List<Waiter> waiters = new ArrayList<>();

	private CurrentRoutingTable.@Nullable Image table;

	private long appliedIndex;

	private long handedOverIndex;

	/** The index of the last entry handed over that may change the table. */
	private long changeIndex;

	private long partsTerm;

	private boolean inParts;

	private boolean partsMayChange;

	/** Adds committed entries that will be applied, some of them possibly again. */
	void handOver(List<LogEntry> committed) {
		List<Waiter> due;
		synchronized (this) {
			for (LogEntry entry : committed) {
				boolean mayChange = mayChange(entry);
				if (entry.index() > this.handedOverIndex) {
					this.handedOverIndex = entry.index();
					this.changeIndex = mayChange ? entry.index() : this.changeIndex;
				}
			}
			due = removeDue();
		}
		due.forEach(Waiter::complete);
	}

	private boolean mayChange(LogEntry entry) {
		boolean continues = this.inParts && entry.term() == this.partsTerm;
		boolean carriesCommand = entry.kind() == LogEntry.Kind.COMMAND || entry.kind() == LogEntry.Kind.PART;
		boolean mayChange = carriesCommand
				&& (continues ? this.partsMayChange : StateCodec.mayReplaceTable(entry.command()));
		this.inParts = entry.kind() == LogEntry.Kind.PART;
		this.partsTerm = entry.term();
		this.partsMayChange = mayChange;
		return mayChange;
	}

	/** Adds a snapshot that will be restored and may change the table. */
	synchronized void handOverSnapshot(long index) {
		if (index > this.handedOverIndex) {
			this.handedOverIndex = index;
			this.changeIndex = index;
			this.inParts = false;
		}
	}

	/** Publishes the table that the state has after an index. */
	void publish(long index, CurrentRoutingTable.@Nullable Image newest) {
		List<Waiter> due;
		synchronized (this) {
			this.table = newest;
			this.appliedIndex = index;
			due = removeDue();
		}
		due.forEach(Waiter::complete);
	}

	/**
	 * Reads the table.
	 * @param index the index up to which all changes must be included
	 * @return the table, empty if none was accepted yet
	 */
	CompletableFuture<Optional<CurrentRoutingTable.Image>> at(long index) {
		Waiter waiter = new Waiter(index);
		List<Waiter> due;
		synchronized (this) {
			this.waiters.add(waiter);
			due = removeDue();
		}
		due.forEach(Waiter::complete);
		return waiter.result;
	}

	private List<Waiter> removeDue() {
		List<Waiter> due = new ArrayList<>();
		this.waiters.removeIf((waiter) -> {
			if (waiter.changeIndex < 0 && Math.max(this.handedOverIndex, this.appliedIndex) >= waiter.index) {
				waiter.changeIndex = Math.min(waiter.index, this.changeIndex);
			}
			boolean isDue = waiter.changeIndex >= 0 && this.appliedIndex >= waiter.changeIndex;
			if (isDue) {
				waiter.found = Optional.ofNullable(this.table);
				due.add(waiter);
			}
			return isDue;
		});
		return due;
	}

	/** A read, completed outside of the lock. */
	private static final class Waiter {

		private final CompletableFuture<Optional<CurrentRoutingTable.Image>> result = new CompletableFuture<>();

		private final long index;

		/** The index that must be applied, negative while it is unknown. */
		private long changeIndex = -1;

		private Optional<CurrentRoutingTable.Image> found = Optional.empty();

		Waiter(long index) {
			this.index = index;
		}

		void complete() {
			this.result.complete(this.found);
		}

	}

}
