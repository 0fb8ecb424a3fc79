package org.zinniatack.gateway.http;

/**
 * Detects that the VM was suspended: the wall clock advanced while the monotonic clock
 * stood still. Also tells how long bytes may have waited to be read, whether the VM was
 * suspended or the process was stopped or busy.
 */
final class FreezeDetector {

	/** Larger than any clock correction between two checks. */
	private static final long MINIMUM_FREEZE_MS = 600;

	private static final long RESUME_PERIOD_MS = 100;

	private long lastWallMs;

	private long lastMonotonicMs;

	private long resumePeriodEndMs;

	private long stoppedMs;

	private long readPeriodEndMs;

	private boolean started;

	/**
	 * Compares the progress of both clocks since the last check.
	 * @param wallMs the wall-clock time, in milliseconds since the epoch
	 * @param monotonicMs the monotonic time, in milliseconds
	 * @return true if the VM was suspended since the last check
	 */
	boolean check(long wallMs, long monotonicMs) {
		long missedMs = (wallMs - this.lastWallMs) - (monotonicMs - this.lastMonotonicMs);
		long uncheckedMs = monotonicMs - this.lastMonotonicMs;
		boolean frozen = this.started && missedMs > MINIMUM_FREEZE_MS;
		if (frozen || (this.started && uncheckedMs > MINIMUM_FREEZE_MS)) {
			this.stoppedMs = uncheckedMs + Math.max(0, missedMs);
			this.readPeriodEndMs = monotonicMs + RESUME_PERIOD_MS;
		}
		this.started = true;
		this.lastWallMs = wallMs;
		this.lastMonotonicMs = monotonicMs;
		if (frozen) {
			this.resumePeriodEndMs = monotonicMs + RESUME_PERIOD_MS;
		}
		return frozen;
	}

	/**
	 * Returns whether the VM resumed a moment ago.
	 * @param monotonicMs the monotonic time, in milliseconds
	 * @return true for a short time after a check that found a suspension
	 */
	boolean hasRecentlyResumed(long monotonicMs) {
		return monotonicMs < this.resumePeriodEndMs;
	}

	/**
	 * Returns how long bytes that are read now may have waited, as the time between the
	 * last two checks if that was unusually long. It applies for a short time after the
	 * second check, until all that had arrived before is read.
	 * @param monotonicMs the monotonic time, in milliseconds
	 * @return the time in milliseconds, 0 if the process has run all the time
	 */
	long unreadMs(long monotonicMs) {
		return (monotonicMs < this.readPeriodEndMs) ? this.stoppedMs : 0;
	}

}
