package org.zinniatack.core.sample;

import java.util.Arrays;

/**
 * Treats a generation as a straggler if it exceeds a multiple of the median duration of
 * the finished ones. Reissues are limited in number.
 */
final class MedianStragglerPolicy implements StragglerPolicy {

	private static final int MIN_FINISHED = 4;

	private final long[] durationsMs;

	private final double medianMultiple;

	private int finishedCount;

	private int remainingReissues;

	private long medianMs = -1;

	MedianStragglerPolicy(int slotCount, double medianMultiple, int maxReissues) {
		this.durationsMs = new long[slotCount];
		this.medianMultiple = medianMultiple;
		this.remainingReissues = maxReissues;
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
		boolean mostFinished = this.finishedCount >= MIN_FINISHED && 2 * this.finishedCount >= this.durationsMs.length;
		if (!mostFinished || this.remainingReissues == 0 || elapsedMs < this.medianMultiple * medianMs()) {
			return false;
		}
		this.remainingReissues--;
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
