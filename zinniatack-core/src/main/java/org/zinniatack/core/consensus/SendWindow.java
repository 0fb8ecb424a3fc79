package org.zinniatack.core.consensus;

/**
 * The bytes that a leader may send to a follower unanswered. Heartbeats wait behind what
 * fills the link, so the window falls to its smallest size while answers are slow.
 */
final class SendWindow {

	/** One message of the largest size. */
	static final long MIN_BYTES = RaftReplica.MAX_ENTRY_BYTES;

	/**
	 * Fills a gigabit link for 8 ms, several round trips between failure domains. At this
	 * bound a dozen unreachable followers hold an eighth of 96 MB of direct memory.
	 */
	static final long MAX_BYTES = 1024 * 1024;

	private final long slowAnswerMs;

	private long bytes = MIN_BYTES;

	private long adaptedAtMs = Progress.NEVER_MS;

	/**
	 * Creates a window of the smallest size.
	 * @param slowAnswerMs the time to an answer from which on the link counts as filled,
	 * in milliseconds
	 */
	SendWindow(long slowAnswerMs) {
		this.slowAnswerMs = slowAnswerMs;
	}

	/** Returns the size that unanswered messages may reach, in bytes. */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Adapts the size to an answer. It grows only once in a round trip, since what the
	 * last growth has added to the link shows only after it.
	 * @param sentAtMs when the answered message was sent, in milliseconds
	 * @param nowMs the current time, in milliseconds
	 */
	void answered(long sentAtMs, long nowMs) {
		if (nowMs - sentAtMs >= this.slowAnswerMs) {
			this.bytes = MIN_BYTES;
			this.adaptedAtMs = nowMs;
		}
		else if (sentAtMs >= this.adaptedAtMs) {
			this.bytes = Math.min(MAX_BYTES, this.bytes + MIN_BYTES);
			this.adaptedAtMs = nowMs;
		}
	}

}
