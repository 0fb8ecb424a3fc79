package org.zinniatack.core.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * In-memory log: the newest snapshot and the entries after it.
 */
final class MemoryLog {

	private Snapshot snapshot;

	private final List<LogEntry> entries;

	MemoryLog(Snapshot snapshot, List<LogEntry> entries) {
		this.snapshot = snapshot;
		this.entries = new ArrayList<>(entries);
	}

	void append(LogEntry entry) {
		this.entries.add(entry);
	}

	/** Drops the entries that the snapshot covers. */
	void compact(Snapshot covering) {
		int covered = (int) Math.min(this.entries.size(), Math.max(0, covering.index() - this.snapshot.index()));
		this.entries.subList(0, covered).clear();
		this.snapshot = covering;
	}

	LogEntry entry(long index) {
		return this.entries.get((int) (index - this.snapshot.index() - 1));
	}

	boolean holds(long index) {
		return index > this.snapshot.index() && index <= lastIndex();
	}

	long firstIndex() {
		return this.snapshot.index() + 1;
	}

	long lastIndex() {
		return this.snapshot.index() + this.entries.size();
	}

	long lastTerm() {
		return termAt(lastIndex());
	}

	/** Replaces the whole log by a received snapshot. */
	void reset(Snapshot received) {
		this.entries.clear();
		this.snapshot = received;
	}

	/** Returns at most the given number of entries, starting at an index. */
	List<LogEntry> slice(long fromIndex, int maximum) {
		return slice(fromIndex, maximum, Long.MAX_VALUE);
	}

	/**
	 * Returns at most the given number of entries, starting at an index. Their commands
	 * have at most the given total size, except that the first entry is always included.
	 */
	List<LogEntry> slice(long fromIndex, int maximum, long maximumBytes) {
		int from = (int) (fromIndex - firstIndex());
		int end = (int) Math.min(this.entries.size(), (long) from + maximum);
		int to = from;
		long bytes = 0;
		while (to < end && (to == from || this.entries.get(to).command().length <= maximumBytes - bytes)) {
			bytes += this.entries.get(to).command().length;
			to++;
		}
		return (from < to) ? List.copyOf(this.entries.subList(from, to)) : List.of();
	}

	Snapshot snapshot() {
		return this.snapshot;
	}

	/** Returns the term at an index, or -1 if the index is not in memory. */
	long termAt(long index) {
		if (index == this.snapshot.index()) {
			return this.snapshot.term();
		}
		return holds(index) ? entry(index).term() : -1;
	}

	void truncateFrom(long index) {
		this.entries.subList((int) (index - firstIndex()), this.entries.size()).clear();
	}

	/** Returns the newest membership at or before an index. */
	Membership membershipAt(long index) {
		for (long at = Math.min(index, lastIndex()); at >= firstIndex(); at--) {
			if (entry(at).kind() == LogEntry.Kind.MEMBERSHIP) {
				return entry(at).membership();
			}
		}
		return this.snapshot.membership();
	}

	/** Returns the index of the newest membership entry, or the snapshot's index. */
	long membershipIndex() {
		for (long at = lastIndex(); at >= firstIndex(); at--) {
			if (entry(at).kind() == LogEntry.Kind.MEMBERSHIP) {
				return at;
			}
		}
		return this.snapshot.index();
	}

}
