package org.zinniatack.core.consensus;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Work that a replica hands to its owner. The owner must, in this order, persist and sync
 * the parts of a snapshot, the hard state, the snapshot and the entries, send the
 * messages, and apply the received snapshot and the committed entries.
 *
 * @param hardState the hard state to persist, or null if unchanged
 * @param snapshot the received snapshot to persist and apply, or null if none
 * @param truncateFrom the index from which stored entries must be deleted, 0 for none
 * @param entries the entries to append
 * @param messages the messages to send
 * @param committed the entries to apply
 * @param snapshotParts the received parts of a snapshot to store, in order
 */
public record Effects(@Nullable HardState hardState, @Nullable Snapshot snapshot, long truncateFrom,
		List<LogEntry> entries, List<ConsensusMessage> messages, List<LogEntry> committed,
		List<ConsensusMessage.SnapshotPart> snapshotParts) {

	/**
	 * Creates effects without parts of a snapshot.
	 * @param hardState the hard state to persist, or null if unchanged
	 * @param snapshot the received snapshot to persist and apply, or null if none
	 * @param truncateFrom the index from which stored entries must be deleted, 0 for none
	 * @param entries the entries to append
	 * @param messages the messages to send
	 * @param committed the entries to apply
	 */
	public Effects(@Nullable HardState hardState, @Nullable Snapshot snapshot, long truncateFrom,
			List<LogEntry> entries, List<ConsensusMessage> messages, List<LogEntry> committed) {
		this(hardState, snapshot, truncateFrom, entries, messages, committed, List.of());
	}

	/**
	 * Returns the messages that may be sent before the sync: a leader's append requests,
	 * since it counts its own copy of an entry only once that is synced.
	 * @return the messages that need no sync
	 */
	public List<ConsensusMessage> messagesBeforeSync() {
		return this.messages.stream().filter(this::maySendBeforeSync).toList();
	}

	/**
	 * Returns the messages that must be sent only after the sync.
	 * @return the other messages
	 */
	public List<ConsensusMessage> messagesAfterSync() {
		return this.messages.stream().filter((message) -> !maySendBeforeSync(message)).toList();
	}

	private boolean maySendBeforeSync(ConsensusMessage message) {
		return this.hardState == null && message instanceof ConsensusMessage.AppendRequest;
	}

	/**
	 * Returns whether anything must be synced to disk before the other messages are sent.
	 * @return true if a sync is needed
	 */
	public boolean needsSync() {
		return this.hardState != null || this.snapshot != null || this.truncateFrom > 0 || !this.entries.isEmpty();
	}

}
