package org.zinniatack.core.consensus;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The log of one replica with what is committed, applied, handed to the disk and safe on
 * it, and the membership that its newest entries state.
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
		refreshMembership();
	}

	/** Returns the entries without their progress. */
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

	/** Returns the index up to which the disk holds the log. */
	long persistedIndex() {
		return this.persistedIndex;
	}

	/** Notes up to where the disk holds the log. */
	void markPersisted(long index) {
		this.persistedIndex = Math.max(this.persistedIndex, Math.min(index, this.log.lastIndex()));
	}

	void append(LogEntry entry) {
		this.log.append(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			adopt(entry.membership(), entry.index());
		}
	}

	/**
	 * Returns where a leader's request should begin instead, below zero if its entries
	 * follow on this log.
	 */
	long mismatch(ConsensusMessage.AppendRequest request) {
		if (request.previousIndex() > this.log.lastIndex()) {
			return this.log.lastIndex();
		}
		boolean follows = request.previousIndex() < this.log.snapshot().index()
				|| this.log.termAt(request.previousIndex()) == request.previousTerm();
		return follows ? MATCHES : lastIndexBeforeTermAt(request.previousIndex());
	}

	private long lastIndexBeforeTermAt(long index) {
		long conflicting = this.log.termAt(index);
		long at = index;
		while (at > this.commitIndex && this.log.termAt(at) == conflicting) {
			at--;
		}
		return at;
	}

	/** Takes a leader's entry over, in place of another one with its index. */
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
		refreshMembership();
	}

	/** Takes a leader's snapshot over, unless what it holds is committed here. */
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
		refreshMembership();
	}

	/** Commits up to an index and returns whether that is news. */
	boolean commitTo(long index) {
		boolean news = index > this.commitIndex;
		this.commitIndex = Math.max(this.commitIndex, index);
		return news;
	}

	Snapshot compact(long index, byte[] state) {
		if (index > this.appliedIndex || index <= this.log.snapshot().index()) {
			throw new IllegalArgumentException("index must be applied and not yet compacted");
		}
		Snapshot snapshot = snapshotAt(index, state);
		this.log.compact(snapshot);
		return snapshot;
	}

	Snapshot snapshotAt(long index, byte[] state) {
		return new Snapshot(index, this.log.termAt(index), this.log.membershipAt(index), state);
	}

	/** Returns the entries after an index that were handed to the disk. */
	List<LogEntry> writtenAfter(long index) {
		return this.log.slice(index + 1, (int) (this.writtenIndex - index));
	}

	/**
	 * Returns what the disk and the state must take over now, and counts it as handed
	 * over.
	 */
	Effects takeEffects(@Nullable HardState changedHardState, List<ConsensusMessage> messages) {
		List<LogEntry> unwritten = this.log.slice(Math.max(this.writtenIndex + 1, this.log.firstIndex()),
				Integer.MAX_VALUE);
		Effects effects = new Effects(changedHardState, this.snapshotReceived ? this.log.snapshot() : null,
				this.truncateFrom, unwritten, messages, takeCommitted());
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

	private void adopt(Membership changed, long index) {
		this.membership = changed;
		this.membershipIndex = index;
	}

	private void refreshMembership() {
		adopt(this.log.membershipAt(this.log.lastIndex()), this.log.membershipIndex());
	}

}
