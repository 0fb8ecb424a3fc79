package org.zinniatack.core.consensus;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What the owner of a replica must do, in this order: persist the hard state, the
 * snapshot and the entries and sync them, send the messages, apply the installed snapshot
 * and the committed entries.
 *
 * @param hardState the hard state to persist, or null if unchanged
 * @param snapshot the received snapshot to persist and to load, or null if none
 * @param truncateFrom the index from which stored entries are void, 0 for none
 * @param entries the entries to append
 * @param messages the messages to send
 * @param committed the entries to apply
 */
public record Effects(@Nullable HardState hardState, @Nullable Snapshot snapshot, long truncateFrom,
		List<LogEntry> entries, List<ConsensusMessage> messages, List<LogEntry> committed) {

	/**
	 * Returns the messages that may leave before the sync: a leader's entries, which
	 * count for itself only once they are synced.
	 * @return the early messages
	 */
	public List<ConsensusMessage> messagesBeforeSync() {
		return this.messages.stream().filter(this::isEarly).toList();
	}

	/**
	 * Returns the messages that must wait for the sync.
	 * @return the other messages
	 */
	public List<ConsensusMessage> messagesAfterSync() {
		return this.messages.stream().filter((message) -> !isEarly(message)).toList();
	}

	private boolean isEarly(ConsensusMessage message) {
		return this.hardState == null && message instanceof ConsensusMessage.AppendRequest;
	}

	/**
	 * Returns whether something must reach the disk before the messages leave.
	 * @return true if a sync is needed
	 */
	public boolean needsSync() {
		return this.hardState != null || this.snapshot != null || this.truncateFrom > 0 || !this.entries.isEmpty();
	}

}
