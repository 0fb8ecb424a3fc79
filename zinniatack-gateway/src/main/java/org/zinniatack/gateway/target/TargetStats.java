package org.zinniatack.gateway.target;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.MovePolicy;
import org.zinniatack.core.speed.PoolSpeed;
import org.zinniatack.core.speed.SpeedEstimate;

/**
 * Statistics of one target, collected from the requests of this process.
 */
public final class TargetStats {

	/** A reported load is outdated after the time of a few answers. */
	private static final long REPORTED_LOAD_VALID_MS = 1_000;

	private static final long INITIAL_AVOIDANCE_MS = 500;

	/** The approximate interval at which a target that stays down is tried again. */
	private static final long MAXIMUM_AVOIDANCE_MS = 4_000;

	/**
	 * The interval at which a target is tried again if all others are avoided as well.
	 */
	private static final long LAST_RESORT_INTERVAL_MS = 1_000;

	/** The weight of the newest answer in the moving average of the failure rate. */
	private static final double FAILURE_WEIGHT = 0.1;

	/** The weight of the newest events in the moving average of the event time. */
	private static final double EVENT_TIME_WEIGHT = 0.1;

	private int outstandingCount;

	private int reportedCount;

	private long reportedAtMs = Long.MIN_VALUE / 2;

	private long avoidedUntilMs = Long.MIN_VALUE / 2;

	private long unreachableAtMs = Long.MIN_VALUE / 2;

	private long refusingUntilMs = Long.MIN_VALUE / 2;

	private long avoidanceMs = INITIAL_AVOIDANCE_MS;

	private double failureRate;

	private double eventMs;

	private long movedAtMs = Long.MIN_VALUE / 2;

	private int longItemCount;

	private final SpeedEstimate answerSpeed = new SpeedEstimate();

	private final SpeedEstimate eventSpeed = new SpeedEstimate();

	/** Read by the thread that collects metrics. */
	private volatile boolean workTimeStated;

	private int sentSinceReportCount;

	/** The moving average of the time from sending an item to its first event. */
	private double firstEventMs;

	/**
	 * Records events of a stream and the time that they took.
	 * @param eventCount the number of events
	 * @param durationMs the time since the previous event, in milliseconds
	 */
	public void recordEvents(int eventCount, long durationMs) {
		double eventMs = durationMs / (double) eventCount;
		this.eventMs = (this.eventMs == 0) ? eventMs
				: this.eventMs * (1 - EVENT_TIME_WEIGHT) + eventMs * EVENT_TIME_WEIGHT;
	}

	/**
	 * Returns the mean time per event.
	 * @return the moving average in milliseconds, 0 if unknown
	 */
	public double eventMs() {
		return this.eventMs;
	}

	/**
	 * Records the time per event of a target that states how long work takes.
	 * @param eventCount the number of events
	 * @param durationMs the time since the previous event, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordEventSpeed(int eventCount, long durationMs, long nowMs) {
		if (this.workTimeStated) {
			this.eventSpeed.recordTime(durationMs / (double) eventCount, nowMs);
		}
	}

	/**
	 * Records the time that an item took to its first event, which includes a connection
	 * and reading its prompt and its text so far.
	 * @param durationMs the time since the item was sent, in milliseconds
	 */
	public void recordFirstEvent(long durationMs) {
		this.firstEventMs = (this.firstEventMs == 0) ? durationMs
				: this.firstEventMs * (1 - EVENT_TIME_WEIGHT) + durationMs * EVENT_TIME_WEIGHT;
	}

	/**
	 * Returns whether the target has stated how long work takes there, so that it is
	 * chosen and left by its expected times.
	 * @return true from its first such answer on
	 */
	public boolean statesWorkTime() {
		return this.workTimeStated;
	}

	/**
	 * Returns the speed of answers to calls.
	 * @return the estimate, without measurements if the target does not state its speed
	 */
	public SpeedEstimate answerSpeed() {
		return this.answerSpeed;
	}

	/**
	 * Returns the speed of events of items.
	 * @return the estimate, without measurements if the target does not state its speed
	 */
	public SpeedEstimate eventSpeed() {
		return this.eventSpeed;
	}

	/**
	 * Records the time of an answer.
	 * @param durationMs the time since the call was sent, in milliseconds
	 * @param queueFactor the queue factor when it was sent
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordAnswerTime(double durationMs, double queueFactor, long nowMs) {
		if (this.workTimeStated) {
			this.answerSpeed.recordTime(durationMs / queueFactor, nowMs);
		}
	}

	/**
	 * Records the time after which a call was given up that was not answered.
	 * @param durationMs the time since the call was sent, in milliseconds
	 * @param queueFactor the queue factor when it was sent
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordGivenUp(double durationMs, double queueFactor, long nowMs) {
		if (this.workTimeStated) {
			this.answerSpeed.recordGivenUp(durationMs / queueFactor, nowMs);
		}
	}

	/**
	 * Returns how much longer a call takes because of what is ahead of it: the reported
	 * load and what this process has sent since.
	 * @param slotCount the number of requests that the target runs at once
	 * @param nowMs the monotonic time, in milliseconds
	 * @return 1 if there is a free slot
	 */
	public double queueFactor(int slotCount, long nowMs) {
		boolean reported = nowMs - this.reportedAtMs < REPORTED_LOAD_VALID_MS;
		int aheadCount = reported ? this.reportedCount + this.sentSinceReportCount : 0;
		return PoolSpeed.queueFactor(Math.max(this.outstandingCount, aheadCount), slotCount);
	}

	/**
	 * Returns the expected time per event of an item that is sent now.
	 * @param remainingEvents the expected number of events to come, 0 if unknown
	 * @param medianMs the median of the usual times per event of the pool, in
	 * milliseconds, 0 if unknown
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the time in milliseconds, 0 if unknown
	 */
	public double expectedEventMs(double remainingEvents, double medianMs, long nowMs) {
		double events = Math.max(1, remainingEvents);
		return (medianMs > 0) ? this.eventSpeed.expectedMs(events, medianMs, nowMs) / events : 0;
	}

	/**
	 * Returns the speed of the target for decisions about moves from or to targets of
	 * uneven speed.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the usual and the recent speed
	 */
	public MovePolicy.UnevenSpeed unevenSpeed(long nowMs) {
		double usualEventMs = this.workTimeStated ? this.eventSpeed.usualMs() : this.eventMs;
		return new MovePolicy.UnevenSpeed(speed(), usualEventMs, this.firstEventMs,
				this.eventSpeed.hasBecomeSlow(nowMs));
	}

	/**
	 * Records that an item moves to or from the target for the sake of speed.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordMove(long nowMs) {
		this.movedAtMs = nowMs;
	}

	/**
	 * Returns the speed of the target for decisions about moves.
	 * @return the mean time per event and the time of the last move
	 */
	public MovePolicy.TargetSpeed speed() {
		return new MovePolicy.TargetSpeed(this.eventMs, this.movedAtMs);
	}

	/**
	 * Sets the number of long items that the target is generating.
	 * @param count the number of items
	 */
	public void setLongItemCount(int count) {
		this.longItemCount = count;
	}

	/**
	 * Returns the number of long items that the target is generating.
	 * @return the number of items
	 */
	public int longItemCount() {
		return this.longItemCount;
	}

	/** Records that a request was sent. */
	public void recordSent() {
		this.outstandingCount++;
		this.sentSinceReportCount++;
	}

	/** Records that a request has ended, with or without an answer. */
	public void recordFinished() {
		this.outstandingCount--;
	}

	/**
	 * Records a load that the target reported.
	 * @param load the load
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordLoad(TargetProtocol.ReportedLoad load, long nowMs) {
		this.reportedCount = load.runningCount() + load.waitingCount();
		this.reportedAtMs = nowMs;
		this.sentSinceReportCount = 0;
		if (load.workPercent() > 0) {
			this.workTimeStated = true;
			this.answerSpeed.recordStated(load.workPercent(), nowMs);
			this.eventSpeed.recordStated(load.workPercent(), nowMs);
		}
	}

	/** Records an answer that is not a failure. */
	public void recordSuccess() {
		this.failureRate *= 1 - FAILURE_WEIGHT;
		this.avoidanceMs = INITIAL_AVOIDANCE_MS;
	}

	/** Records that the target processed a request and failed. */
	public void recordFailure() {
		this.failureRate = this.failureRate * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
	}

	/**
	 * Records that the target could not be reached or did not answer. It is avoided for a
	 * while, and twice as long each time up to a maximum, until the next success.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordUnreachable(long nowMs) {
		this.unreachableAtMs = nowMs;
		if (nowMs < this.avoidedUntilMs) {
			return;
		}
		this.avoidedUntilMs = nowMs + this.avoidanceMs;
		this.avoidanceMs = Math.min(2 * this.avoidanceMs, MAXIMUM_AVOIDANCE_MS);
	}

	/**
	 * Avoids the target for a while because it refuses requests.
	 * @param untilMs the monotonic time until which it is avoided, in milliseconds
	 */
	public void avoidUntil(long untilMs) {
		this.refusingUntilMs = Math.max(this.refusingUntilMs, untilMs);
	}

	/**
	 * Returns whether the target should get requests.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false while it is avoided
	 */
	public boolean isUsable(long nowMs) {
		return nowMs >= this.avoidedUntilMs && nowMs >= this.refusingUntilMs;
	}

	/**
	 * Returns whether the target refused a request a short time ago.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true during the pause after a refusal
	 */
	public boolean isRefusing(long nowMs) {
		return nowMs < this.refusingUntilMs;
	}

	/**
	 * Returns whether the target reported a free slot a short time ago.
	 * @param notice the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false if it is full or has not reported its load lately
	 */
	public boolean reportsRoom(TargetNotice notice, long nowMs) {
		return nowMs - this.reportedAtMs < REPORTED_LOAD_VALID_MS
				&& Math.max(this.outstandingCount, this.reportedCount) < notice.slotCount();
	}

	/**
	 * Returns whether the target may get one request if no other target has room.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false if it has a request, was unreachable a short time ago or refuses
	 * requests
	 */
	public boolean isLastResort(long nowMs) {
		return this.outstandingCount == 0 && nowMs - this.unreachableAtMs >= LAST_RESORT_INTERVAL_MS
				&& nowMs >= this.refusingUntilMs;
	}

	/**
	 * Records that the target answers, so that it is no longer avoided as unreachable.
	 */
	public void recordAnswering() {
		this.avoidedUntilMs = Long.MIN_VALUE / 2;
	}

	/**
	 * Returns the number of requests of this process that have not ended.
	 * @return the number of requests
	 */
	public int outstandingCount() {
		return this.outstandingCount;
	}

	/**
	 * Returns the utilization of the target, with its failures counted as load.
	 * @param notice the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the load relative to the slots, 1 for a full target
	 */
	public double utilization(TargetNotice notice, long nowMs) {
		int currentReported = (nowMs - this.reportedAtMs < REPORTED_LOAD_VALID_MS) ? this.reportedCount : 0;
		return Math.max(this.outstandingCount, currentReported) / (double) Math.max(1, notice.slotCount())
				+ 2 * this.failureRate;
	}

}
