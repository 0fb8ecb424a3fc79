package org.zinniatack.direct.http;

/**
 * Tells that a machine was suspended: the time of day went on while the monotonic clock
 * stood still.
 */
final class FreezeDetector {

	/** Clocks are corrected by less from one check to the next. */
	private static final long LEAST_FREEZE_MS = 600;

	private static final long THAWING_MS = 100;

	private long lastWallMs;

	private long lastMonotonicMs;

	private long thawedAtMs;

	private boolean started;

	/**
	 * Compares the clocks.
	 * @param wallMs the time of day, in milliseconds since the epoch
	 * @param monotonicMs the monotonic time, in milliseconds
	 * @return true if the machine was suspended since the last check
	 */
	boolean check(long wallMs, long monotonicMs) {
		long missedMs = (wallMs - this.lastWallMs) - (monotonicMs - this.lastMonotonicMs);
		boolean frozen = this.started && missedMs > LEAST_FREEZE_MS;
		this.started = true;
		this.lastWallMs = wallMs;
		this.lastMonotonicMs = monotonicMs;
		if (frozen) {
			this.thawedAtMs = monotonicMs + THAWING_MS;
		}
		return frozen;
	}

	/**
	 * Returns whether a freeze ended a moment ago.
	 * @param monotonicMs the monotonic time, in milliseconds
	 * @return true shortly after a freeze
	 */
	boolean hasRecentlyResumed(long monotonicMs) {
		return monotonicMs < this.thawedAtMs;
	}

}
