package org.zinniatack.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects that the VM was suspended: the wall clock advanced while the monotonic clock
 * stood still. Also tells how long bytes may have waited to be read, whether the VM was
 * suspended or the process was stopped or busy.
 */
final class FreezeDetector {

	/** Larger than any clock correction between two checks. */
	private static final long MINIMUM_FREEZE_MS = 600;

	private static final long RESUME_PERIOD_MS = 100;

	/**
	 * Connections that wait when the process runs again are accepted within this time.
	 */
	private static final long MAXIMUM_QUEUE_MS = 10_000;

	private long lastWallMs;

	private long lastMonotonicMs;

	private long resumePeriodEndMs;

	private long stoppedMs;

	private long readPeriodEndMs;

	/** The time that only the wall clock saw, in milliseconds. */
	private long suspendedMs;

	/** The stops after which something may still wait, oldest first. */
	private final Deque<Stop> recentStops = new ArrayDeque<>();

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
			this.suspendedMs += frozen ? missedMs : 0;
			long endedMs = elapsedMs(monotonicMs);
			addStop(new Stop(endedMs - this.stoppedMs, endedMs));
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
	 * Allows for connections that have waited until now without being accepted.
	 * @param waitedMs the longest time for which one may have waited, in milliseconds
	 * @param monotonicMs the monotonic time, in milliseconds
	 */
	void allowForWait(long waitedMs, long monotonicMs) {
		long nowMs = elapsedMs(monotonicMs);
		addStop(new Stop(nowMs - waitedMs, nowMs));
	}

	/** Also forgets old stops, since no connection may ask for them. */
	private void addStop(Stop stop) {
		forgetOldStops(stop.endedMs());
		this.recentStops.add(stop);
	}

	private void forgetOldStops(long nowMs) {
		while (!this.recentStops.isEmpty() && nowMs - this.recentStops.peek().endedMs() > MAXIMUM_QUEUE_MS) {
			this.recentStops.remove();
		}
	}

	/** Returns the number of stops that are remembered. */
	int recentStopCount() {
		return this.recentStops.size();
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
	 * Returns a time that goes on while the VM is suspended.
	 * @param monotonicMs the monotonic time, in milliseconds
	 * @return the monotonic time with the time of all suspensions, in milliseconds
	 */
	long elapsedMs(long monotonicMs) {
		return monotonicMs + this.suspendedMs;
	}

	/**
	 * Returns the earliest time at which a connection that is accepted now may have been
	 * opened. Unlike {@link #unreadMs}, it allows for a long queue after a stop.
	 * @param monotonicMs the monotonic time, in milliseconds
	 * @return the time as {@link #elapsedMs} states it
	 */
	long openedSinceMs(long monotonicMs) {
		long nowMs = elapsedMs(monotonicMs);
		forgetOldStops(nowMs);
		return this.recentStops.isEmpty() ? nowMs : this.recentStops.peek().beganMs();
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

	/**
	 * A time in which the process did not run.
	 *
	 * @param beganMs the last time at which it ran before, in milliseconds
	 * @param endedMs the time at which it ran again, in milliseconds
	 */
	private record Stop(long beganMs, long endedMs) {
	}

}
