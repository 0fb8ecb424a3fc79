package org.zinniatack.core.consensus;

/**
 * What a leader knows about one follower.
 */
final class Progress {

	/** A time before any other. */
	static final long NEVER_MS = Long.MIN_VALUE / 2;

	private long nextIndex;

	private long matchIndex;

	private long acknowledgedSentAtMs = NEVER_MS;

	private long rewoundAtMs = NEVER_MS;

	private long snapshotSentAtMs = NEVER_MS;

	Progress(long nextIndex) {
		this.nextIndex = nextIndex;
	}

	void acknowledge(long sentAtMs) {
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

	void matched(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		this.snapshotSentAtMs = NEVER_MS;
	}

	/** Rewinds to the hint, unless the refused message left before the last rewind. */
	void rejected(long hintIndex, long sentAtMs, long nowMs) {
		if (sentAtMs <= this.rewoundAtMs) {
			return;
		}
		this.rewoundAtMs = nowMs;
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(this.nextIndex, hintIndex + 1));
	}

	void sent(int entryCount) {
		this.nextIndex += entryCount;
	}

	/** Returns whether a snapshot may be sent, and notes that it is. */
	boolean startSnapshot(long nowMs, long retryMs) {
		if (nowMs - this.snapshotSentAtMs < retryMs) {
			return false;
		}
		this.snapshotSentAtMs = nowMs;
		return true;
	}

}
