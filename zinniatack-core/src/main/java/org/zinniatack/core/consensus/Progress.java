package org.zinniatack.core.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A leader's replication progress for one follower.
 */
final class Progress {

	/** Before any other time, and far enough from the minimum to subtract safely. */
	static final long NEVER_MS = Long.MIN_VALUE / 2;

	private long nextIndex;

	private long matchIndex;

	private long acknowledgedSentAtMs = NEVER_MS;

	private long probeSentAtMs = NEVER_MS;

	private boolean probing = true;

	private @Nullable SnapshotTransfer snapshotTransfer;

	private final Deque<UnacknowledgedBatch> unacknowledged = new ArrayDeque<>();

	private long unacknowledgedBytes;

	private final SendWindow window;

	Progress(long nextIndex, SendWindow window) {
		this.nextIndex = nextIndex;
		this.window = window;
	}

	void acknowledge(long sentAtMs, long nowMs) {
		this.window.answered(sentAtMs, nowMs);
		this.acknowledgedSentAtMs = Math.max(this.acknowledgedSentAtMs, sentAtMs);
	}

	long acknowledgedSentAtMs() {
		return this.acknowledgedSentAtMs;
	}

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	boolean isProbing() {
		return this.probing;
	}

	/**
	 * Records the follower's match index and ends probing: entries are now pipelined.
	 */
	void matched(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		while (!this.unacknowledged.isEmpty() && this.unacknowledged.peekFirst().lastIndex() <= this.matchIndex) {
			this.unacknowledgedBytes -= this.unacknowledged.removeFirst().bytes();
		}
		this.probing = false;
		this.snapshotTransfer = null;
	}

	/**
	 * Moves the next index back to where the follower's log may match and probes from
	 * there, one message at a time. Ignores a rejection that does not answer the newest
	 * probe.
	 * @return true if a probe should be sent now
	 */
	boolean rejected(long hintIndex, long rejectedIndex) {
		boolean stale = rejectedIndex <= this.matchIndex || (this.probing && rejectedIndex != this.nextIndex - 1);
		if (stale) {
			return false;
		}
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(rejectedIndex, hintIndex + 1));
		this.unacknowledged.clear();
		this.unacknowledgedBytes = 0;
		this.probing = true;
		this.probeSentAtMs = NEVER_MS;
		return true;
	}

	/** Returns whether a probe is due, and if so records it as sent. */
	boolean startProbe(long nowMs, long retryMs) {
		if (nowMs - this.probeSentAtMs < retryMs) {
			return false;
		}
		this.probeSentAtMs = nowMs;
		return true;
	}

	void sent(List<LogEntry> entries) {
		if (!entries.isEmpty()) {
			long bytes = entries.stream().mapToLong((entry) -> entry.command().length).sum();
			this.nextIndex += entries.size();
			this.unacknowledged.addLast(new UnacknowledgedBatch(this.nextIndex - 1, bytes));
			this.unacknowledgedBytes += bytes;
		}
	}

	/** Returns whether more entries may be sent before the follower answers. */
	boolean maySendEntries() {
		return this.unacknowledgedBytes < this.window.bytes();
	}

	/** Returns the transfer of a snapshot, which begins anew for another snapshot. */
	SnapshotTransfer transferOf(Snapshot snapshot, long nowMs) {
		SnapshotTransfer transfer = this.snapshotTransfer;
		if (transfer == null || !transfer.isOf(snapshot)) {
			transfer = new SnapshotTransfer(snapshot, this.window, nowMs);
			this.snapshotTransfer = transfer;
		}
		return transfer;
	}

	/**
	 * Records a follower's answer to a part and returns whether to send to it at once.
	 */
	boolean acknowledgePart(ConsensusMessage.SnapshotPartResponse response, long nowMs) {
		acknowledge(response.sentAtMs(), nowMs);
		SnapshotTransfer transfer = this.snapshotTransfer;
		return transfer != null && transfer.acknowledge(response, nowMs);
	}

	/**
	 * The entries of one sent message.
	 *
	 * @param lastIndex the index of the last of them
	 * @param bytes the total size of their commands, in bytes
	 */
	private record UnacknowledgedBatch(long lastIndex, long bytes) {
	}

}
