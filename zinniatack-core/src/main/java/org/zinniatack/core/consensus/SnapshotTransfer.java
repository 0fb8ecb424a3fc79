package org.zinniatack.core.consensus;

/**
 * A leader's transfer of a snapshot to one follower. A follower that has answered gets
 * several parts at a time, another one a single part.
 */
final class SnapshotTransfer {

	private final Snapshot snapshot;

	private final SendWindow window;

	private long acknowledgedBytes;

	private long sentBytes;

	private boolean answered;

	private long progressAtMs;

	SnapshotTransfer(Snapshot snapshot, SendWindow window, long nowMs) {
		this.snapshot = snapshot;
		this.window = window;
		this.progressAtMs = nowMs;
	}

	boolean isOf(Snapshot other) {
		return this.snapshot.index() == other.index();
	}

	/** Sends again what was not acknowledged if nothing was for some time. */
	void restartIfStalled(long nowMs, long retryMs) {
		if (this.sentBytes > this.acknowledgedBytes && nowMs - this.progressAtMs >= retryMs) {
			this.sentBytes = this.acknowledgedBytes;
			this.answered = false;
			this.progressAtMs = nowMs;
		}
	}

	long sentBytes() {
		return this.sentBytes;
	}

	/** Returns the size of the part to send now, in bytes, 0 for none. */
	int nextLength() {
		long limitBytes = this.answered ? this.window.bytes() : Snapshot.PART_BYTES;
		boolean mayBeSent = this.sentBytes - this.acknowledgedBytes < limitBytes;
		return mayBeSent ? (int) Math.min(Snapshot.PART_BYTES, this.snapshot.sizeBytes() - this.sentBytes) : 0;
	}

	void sent(int length) {
		this.sentBytes += length;
	}

	/**
	 * Records what the follower holds.
	 * @return true if more may be sent
	 */
	boolean acknowledge(ConsensusMessage.SnapshotPartResponse response, long nowMs) {
		if (response.snapshotIndex() != this.snapshot.index() || response.receivedBytes() == this.acknowledgedBytes) {
			return false;
		}
		boolean restarted = response.receivedBytes() < this.acknowledgedBytes;
		this.acknowledgedBytes = response.receivedBytes();
		this.sentBytes = restarted ? this.acknowledgedBytes : Math.max(this.sentBytes, this.acknowledgedBytes);
		this.answered = true;
		this.progressAtMs = nowMs;
		return true;
	}

}
