package org.zinniatack.core.job;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Log indexes that a process had applied, by its monotonic clock. Tells which commands
 * are at least so old.
 */
public final class AppliedIndexes {

	private final long ageMs;

	private final Deque<Applied> newer = new ArrayDeque<>();

	private long oldEnoughIndex;

	/**
	 * Creates a history without indexes.
	 * @param ageMs the age that is asked for, in milliseconds
	 */
	public AppliedIndexes(long ageMs) {
		this.ageMs = ageMs;
	}

	/**
	 * Records an index that has been applied.
	 * @param index the log index
	 * @param nowMs a monotonic time after it was applied, in milliseconds
	 */
	public void record(long index, long nowMs) {
		this.newer.add(new Applied(index, nowMs));
	}

	/**
	 * Returns the last index that was applied long enough ago.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the log index, 0 if the process has not run for so long
	 */
	public long oldEnough(long nowMs) {
		for (Applied oldest = this.newer.peek(); oldest != null
				&& nowMs - oldest.atMs() >= this.ageMs; oldest = this.newer.peek()) {
			this.oldEnoughIndex = oldest.index();
			this.newer.remove();
		}
		return this.oldEnoughIndex;
	}

	private record Applied(long index, long atMs) {
	}

}
