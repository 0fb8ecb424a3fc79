package org.zinniatack.core.pace;

/**
 * The limit on the requests that one process has outstanding at one start of a target. It
 * grows with answers in time and shrinks with late answers, refusals and losses. At the
 * number of slots the target is steady and has no limit.
 */
public final class TargetPace {

	/** An answer is late if it took longer than the usual time by this factor. */
	private static final double LATE_FACTOR = 2;

	/** The share of its slots that a target gets at first, as a divisor. */
	private static final int FIRST_SHARE = 3;

	private final int slotCount;

	private double limit;

	/** The limit at which the target last failed. */
	private double failedLimit = Double.POSITIVE_INFINITY;

	private long reducedAtMs = Long.MIN_VALUE / 2;

	private TargetPace(int slotCount, double limit) {
		this.slotCount = Math.max(1, slotCount);
		this.limit = Math.max(1, limit);
	}

	/**
	 * Returns the pace of a target that has just started.
	 * @param slotCount the number of its slots
	 * @return a pace whose limit is a third of the slots
	 */
	public static TargetPace starting(int slotCount) {
		return new TargetPace(slotCount, slotCount / FIRST_SHARE);
	}

	/**
	 * Returns the pace of a target that started some time ago.
	 * @param slotCount the number of its slots
	 * @return a pace without a limit
	 */
	public static TargetPace steady(int slotCount) {
		return new TargetPace(slotCount, slotCount);
	}

	/**
	 * Returns whether no limit applies.
	 * @return true if the limit has reached the number of slots
	 */
	public boolean isSteady() {
		return this.limit >= this.slotCount;
	}

	/**
	 * Returns the limit on outstanding requests.
	 * @return the limit, at least 1; the number of slots if the target is steady
	 */
	public int limit() {
		return (int) Math.min(this.limit, this.slotCount);
	}

	/**
	 * Returns whether one more request may be sent.
	 * @param outstandingCount the requests of this process that have not ended
	 * @param permitted whether there is a permit if the target may be cold, which is
	 * required in addition to the limit
	 * @return false if the limit is reached or there is no permit
	 */
	public boolean hasRoom(int outstandingCount, boolean permitted) {
		return permitted && (isSteady() || outstandingCount < limit());
	}

	/**
	 * Records an answer. One to a request from before the last reduction does not tell
	 * whether the target bears the new limit.
	 * @param sentAtMs the monotonic time at which its request was sent, in milliseconds
	 * @param durationMs the time that it took, in milliseconds
	 * @param usualMs the usual time of the targets of the pool, 0 if unknown, so that no
	 * answer is late
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onAnswer(long sentAtMs, double durationMs, double usualMs, long nowMs) {
		if (usualMs > 0 && durationMs > LATE_FACTOR * usualMs) {
			reduce(sentAtMs, this.limit / 2, nowMs);
		}
		else if (!isSteady() && sentAtMs >= this.reducedAtMs) {
			this.limit += (this.limit < this.failedLimit / 2) ? 1 : 1 / this.limit;
		}
	}

	/**
	 * Records that the target refused a request.
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onRefusal(long sentAtMs, long nowMs) {
		reduce(sentAtMs, this.limit / 2, nowMs);
	}

	/**
	 * Records a lost connection or a malformed answer.
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void onLoss(long sentAtMs, long nowMs) {
		if (sentAtMs < this.reducedAtMs) {
			this.limit = 1;
			return;
		}
		reduce(sentAtMs, 1, nowMs);
	}

	/**
	 * Reduces the limit, unless the request was sent before the last reduction: what it
	 * tells of the target led to that reduction already.
	 */
	private void reduce(long sentAtMs, double newLimit, long nowMs) {
		if (sentAtMs < this.reducedAtMs) {
			return;
		}
		this.failedLimit = Math.min(this.limit, this.slotCount);
		this.limit = Math.max(1, Math.min(newLimit, this.slotCount / 2.0));
		this.reducedAtMs = nowMs;
	}

}
