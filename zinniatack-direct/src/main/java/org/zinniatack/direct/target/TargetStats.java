package org.zinniatack.direct.target;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.MovePolicy;

/**
 * What this process has seen of one target.
 */
public final class TargetStats {

	/** A stated load says little after the time that a few answers take. */
	private static final long STATED_LOAD_MS = 1_000;

	private static final long FIRST_AVOIDANCE_MS = 500;

	/** A target that was down for long is tried again about once in this time. */
	private static final long LONGEST_AVOIDANCE_MS = 4_000;

	/** The weight of the newest answer in the moving share of failures. */
	private static final double FAILURE_WEIGHT = 0.1;

	/** The weight of the newest events in the moving mean of their time. */
	private static final double PACE_WEIGHT = 0.1;

	private int outstandingCount;

	private int statedCount;

	private long statedAtMs = Long.MIN_VALUE / 2;

	private long avoidedUntilMs = Long.MIN_VALUE / 2;

	private long avoidanceMs = FIRST_AVOIDANCE_MS;

	private double failureShare;

	private double eventMs;

	private long movedAtMs = Long.MIN_VALUE / 2;

	private int longItemCount;

	/**
	 * Notes how long a target took for each event of a stream.
	 * @param eventCount the number of events
	 * @param durationMs the time in which they came, in milliseconds
	 */
	public void recordEvents(int eventCount, long durationMs) {
		double eventMs = durationMs / (double) eventCount;
		this.eventMs = (this.eventMs == 0) ? eventMs : this.eventMs * (1 - PACE_WEIGHT) + eventMs * PACE_WEIGHT;
	}

	/**
	 * Returns the time that the target takes for an event.
	 * @return the moving mean in milliseconds, 0 if nothing is known
	 */
	public double eventMs() {
		return this.eventMs;
	}

	/**
	 * Notes that an item leaves the target for another's pace, or comes for its own.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordMove(long nowMs) {
		this.movedAtMs = nowMs;
	}

	/**
	 * Returns what is known of the target's pace.
	 * @return the pace, and when a move last changed it
	 */
	public MovePolicy.TargetSpeed speed() {
		return new MovePolicy.TargetSpeed(this.eventMs, this.movedAtMs);
	}

	/**
	 * Notes how many long items the target works on, which a load of weights would delay.
	 * @param count the number of items
	 */
	public void setLongItemCount(int count) {
		this.longItemCount = count;
	}

	/**
	 * Returns how many long items the target works on.
	 * @return the number of items
	 */
	public int longItemCount() {
		return this.longItemCount;
	}

	/** Notes that a request is on its way. */
	public void recordSent() {
		this.outstandingCount++;
	}

	/** Notes that a request is over. */
	public void recordFinished() {
		this.outstandingCount--;
	}

	/**
	 * Notes a load that the target stated.
	 * @param load the load
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordLoad(TargetDialect.ReportedLoad load, long nowMs) {
		this.statedCount = load.runningCount() + load.waitingCount();
		this.statedAtMs = nowMs;
	}

	/** Notes an answer of any kind but a failure. */
	public void recordSuccess() {
		this.failureShare *= 1 - FAILURE_WEIGHT;
		this.avoidanceMs = FIRST_AVOIDANCE_MS;
	}

	/** Notes that the target ran a request and failed. */
	public void recordFailure() {
		this.failureShare = this.failureShare * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
	}

	/**
	 * Notes that the target could not be reached or did not answer.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordUnreachable(long nowMs) {
		if (nowMs < this.avoidedUntilMs) {
			return;
		}
		this.avoidedUntilMs = nowMs + this.avoidanceMs;
		this.avoidanceMs = Math.min(2 * this.avoidanceMs, LONGEST_AVOIDANCE_MS);
	}

	/**
	 * Notes that the target takes no requests for a while.
	 * @param untilMs the monotonic time until which it takes none, in milliseconds
	 */
	public void avoidUntil(long untilMs) {
		this.avoidedUntilMs = Math.max(this.avoidedUntilMs, untilMs);
	}

	/**
	 * Returns whether the target should get requests.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false while it is avoided
	 */
	public boolean isUsable(long nowMs) {
		return nowMs >= this.avoidedUntilMs;
	}

	/**
	 * Returns the requests of this process that are on their way.
	 * @return their number
	 */
	public int outstandingCount() {
		return this.outstandingCount;
	}

	/**
	 * Returns how full the target is, with its failures counted as load.
	 * @param notice the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return its load against its slots, 1 for a full target
	 */
	public double utilization(TargetNotice notice, long nowMs) {
		int stated = (nowMs - this.statedAtMs < STATED_LOAD_MS) ? this.statedCount : 0;
		return Math.max(this.outstandingCount, stated) / (double) Math.max(1, notice.slotCount())
				+ 2 * this.failureShare;
	}

}
