package org.zinniatack.core.consensus;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A replica's log with its commit, applied, written and persisted indexes and its newest
 * membership. Written entries have been handed to the owner in effects; persisted ones
 * are synced.
 */
final class ReplicaLog {

	private static final long MATCHES = -1;

	private final MemoryLog log;

	private Membership membership = Membership.empty();

	private long membershipIndex;

	private long commitIndex;

	private long appliedIndex;

	private long writtenIndex;

	private long persistedIndex;

	private long truncateFrom;

	private boolean snapshotReceived;

	ReplicaLog(PersistentState state) {
		this.log = new MemoryLog(state.snapshot(), state.entries());
		this.commitIndex = state.snapshot().index();
		this.appliedIndex = this.commitIndex;
		this.writtenIndex = this.log.lastIndex();
		this.persistedIndex = this.writtenIndex;
		reloadMembership();
	}

	/** Returns the underlying in-memory log. */
	MemoryLog entries() {
		return this.log;
	}

	Membership membership() {
		return this.membership;
	}

	/** Returns whether the newest membership is committed. */
	boolean isMembershipCommitted() {
		return this.membershipIndex <= this.commitIndex;
	}

	long commitIndex() {
		return this.commitIndex;
	}

	long lastIndex() {
		return this.log.lastIndex();
	}

	long lastTerm() {
		return this.log.lastTerm();
	}

	long termAt(long index) {
		return this.log.termAt(index);
	}

	/** Returns the index up to which the log is synced to disk. */
	long persistedIndex() {
		return this.persistedIndex;
	}

	/** Records up to which index the log is synced to disk. */
	void markPersisted(long index) {
		this.persistedIndex = Math.max(this.persistedIndex, Math.min(index, this.log.lastIndex()));
	}

	void append(LogEntry entry) {
		this.log.append(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			setMembership(entry.membership(), entry.index());
		}
	}

	/**
	 * Returns the index after which the leader should retry, or a negative value if the
	 * entry before the request's entries matches this log.
	 */
	long findMismatch(ConsensusMessage.AppendRequest request) {
		if (request.previousIndex() > this.log.lastIndex()) {
			return this.log.lastIndex();
		}
		boolean follows = request.previousIndex() < this.log.snapshot().index()
				|| this.log.termAt(request.previousIndex()) == request.previousTerm();
		return follows ? MATCHES : lastIndexBeforeTermAt(request.previousIndex());
	}

	private long lastIndexBeforeTermAt(long index) {
		long conflictingTerm = this.log.termAt(index);
		long at = index;
		while (at > this.commitIndex && this.log.termAt(at) == conflictingTerm) {
			at--;
		}
		return at;
	}

	/** Stores an entry from the leader, truncating a conflicting suffix. */
	void store(LogEntry entry) {
		if (entry.index() <= this.log.snapshot().index()) {
			return;
		}
		if (this.log.holds(entry.index())) {
			if (this.log.termAt(entry.index()) == entry.term()) {
				return;
			}
			truncate(entry.index());
		}
		append(entry);
	}

	private void truncate(long index) {
		if (index <= this.commitIndex) {
			throw new IllegalStateException("committed entry " + index + " would be truncated");
		}
		this.log.truncateFrom(index);
		if (index <= this.writtenIndex) {
			this.truncateFrom = (this.truncateFrom == 0) ? index : Math.min(this.truncateFrom, index);
			this.writtenIndex = index - 1;
			this.persistedIndex = Math.min(this.persistedIndex, this.writtenIndex);
		}
		reloadMembership();
	}

	/** Accepts the leader's snapshot unless its index is already committed here. */
	void receive(Snapshot received) {
		if (received.index() <= this.commitIndex) {
			return;
		}
		if (this.log.termAt(received.index()) == received.term()) {
			commitTo(received.index());
		}
		else {
			install(received);
		}
	}

	private void install(Snapshot received) {
		this.log.reset(received);
		this.commitIndex = received.index();
		this.appliedIndex = received.index();
		this.writtenIndex = received.index();
		this.persistedIndex = received.index();
		this.truncateFrom = 0;
		this.snapshotReceived = true;
		reloadMembership();
	}

	/** Advances the commit index and returns whether it changed. */
	boolean commitTo(long index) {
		boolean advanced = index > this.commitIndex;
		this.commitIndex = Math.max(this.commitIndex, index);
		return advanced;
	}

	Snapshot compact(long index, long sizeBytes) {
		if (index > this.appliedIndex || index <= this.log.snapshot().index()) {
			throw new IllegalArgumentException("cannot compact up to index " + index + ": applied index is "
					+ this.appliedIndex + ", compacted index is " + this.log.snapshot().index());
		}
		Snapshot snapshot = snapshotAt(index, sizeBytes);
		this.log.compact(snapshot);
		return snapshot;
	}

	Snapshot snapshotAt(long index, long sizeBytes) {
		return new Snapshot(index, this.log.termAt(index), this.log.membershipAt(index), sizeBytes);
	}

	/**
	 * Returns the pending writes and committed entries, and advances the written and
	 * applied indexes past them.
	 */
	Effects takeEffects(@Nullable HardState changedHardState, List<ConsensusMessage> messages,
			List<ConsensusMessage.SnapshotPart> parts) {
		List<LogEntry> unwritten = this.log.slice(Math.max(this.writtenIndex + 1, this.log.firstIndex()),
				Integer.MAX_VALUE);
		Effects effects = new Effects(changedHardState, this.snapshotReceived ? this.log.snapshot() : null,
				this.truncateFrom, unwritten, messages, takeCommitted(), parts);
		this.snapshotReceived = false;
		this.truncateFrom = 0;
		this.writtenIndex = this.log.lastIndex();
		return effects;
	}

	private List<LogEntry> takeCommitted() {
		List<LogEntry> committed = this.log.slice(this.appliedIndex + 1, (int) (this.commitIndex - this.appliedIndex));
		this.appliedIndex = this.commitIndex;
		return committed;
	}

	private void setMembership(Membership changed, long index) {
		this.membership = changed;
		this.membershipIndex = index;
	}

	private void reloadMembership() {
		setMembership(this.log.membershipAt(this.log.lastIndex()), this.log.membershipIndex());
	}

}
