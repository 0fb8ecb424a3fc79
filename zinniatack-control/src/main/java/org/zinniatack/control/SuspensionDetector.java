package org.zinniatack.control;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Ticker;

/**
 * Detects that the VM was suspended while its monotonic clock stood still, which the wall
 * clock then is ahead of. A wall clock that is set forward looks the same, so each count
 * means only that the VM may have been suspended. Any thread may use it.
 */
final class SuspensionDetector {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Short enough that the two clocks do not drift apart by the threshold. */
	private static final long BASELINE_INTERVAL_MS = 1_000;

	private final Ticker ticker;

	private final LongSupplier wallMs;

	private final long thresholdMs;

	/** The least that the wall clock was ahead of the monotonic clock, at the most. */
	private long baselineMs;

	private long baselineAtMs;

	private int count;

	/**
	 * Creates a detector.
	 * @param ticker the monotonic clock
	 * @param wallMs the wall clock, in milliseconds since the epoch
	 * @param thresholdMs the longest suspension that need not be detected, in
	 * milliseconds
	 */
	SuspensionDetector(Ticker ticker, LongSupplier wallMs, long thresholdMs) {
		this.ticker = ticker;
		this.wallMs = wallMs;
		this.thresholdMs = thresholdMs;
		this.baselineAtMs = monotonicMs();
		this.baselineMs = wallMs.getAsLong() - this.baselineAtMs;
	}

	private long monotonicMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.ticker.nanoTime());
	}

	/**
	 * Returns how often the VM was suspended, as far as known.
	 * @return the number of suspensions, which includes one that ended just before
	 */
	synchronized int count() {
		// The thread may pause between two readings, which must not look like a
		// suspension.
		long beforeMs = monotonicMs();
		long currentWallMs = this.wallMs.getAsLong();
		long afterMs = monotonicMs();
		long suspendedMs = currentWallMs - afterMs - this.baselineMs;
		boolean suspended = suspendedMs > this.thresholdMs;
		if (suspended) {
			this.count++;
			LOGGER.atWarning().log("event=vm_suspended duration_ms=%d count=%d", suspendedMs, this.count);
		}
		long leadMs = currentWallMs - beforeMs;
		if (suspended || leadMs < this.baselineMs || afterMs - this.baselineAtMs >= BASELINE_INTERVAL_MS) {
			this.baselineMs = leadMs;
			this.baselineAtMs = afterMs;
		}
		return this.count;
	}

}
