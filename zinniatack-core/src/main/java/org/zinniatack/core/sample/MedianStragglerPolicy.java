package org.zinniatack.core.sample;

import java.util.Arrays;

/**
 * Compares a running generation with the median of those that have finished.
 */
final class MedianStragglerPolicy implements StragglerPolicy {

	private static final int FEWEST_FINISHED = 4;

	private final long[] durationsMs;

	private final double medianMultiple;

	private int finishedCount;

	private int remainingExtra;

	private long medianMs = -1;

	MedianStragglerPolicy(int slotCount, double medianMultiple, int extraCount) {
		this.durationsMs = new long[slotCount];
		this.medianMultiple = medianMultiple;
		this.remainingExtra = extraCount;
	}

	@Override
	public synchronized void recordDuration(long durationMs) {
		if (this.finishedCount < this.durationsMs.length) {
			this.durationsMs[this.finishedCount++] = durationMs;
			this.medianMs = -1;
		}
	}

	@Override
	public synchronized boolean tryReissue(long elapsedMs) {
		boolean mostDone = this.finishedCount >= FEWEST_FINISHED && 2 * this.finishedCount >= this.durationsMs.length;
		if (!mostDone || this.remainingExtra == 0 || elapsedMs < this.medianMultiple * medianMs()) {
			return false;
		}
		this.remainingExtra--;
		return true;
	}

	private long medianMs() {
		if (this.medianMs < 0) {
			long[] sorted = Arrays.copyOf(this.durationsMs, this.finishedCount);
			Arrays.sort(sorted);
			this.medianMs = sorted[this.finishedCount / 2];
		}
		return this.medianMs;
	}

}
