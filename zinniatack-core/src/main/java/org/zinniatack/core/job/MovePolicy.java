package org.zinniatack.core.job;

/**
 * Decides whether a running item should move to a faster target. The new target has to
 * process the prompt and the output so far again, which takes a few tens of milliseconds,
 * and the connection to the old target is lost.
 */
public final class MovePolicy {

	/**
	 * The time that a first move must save, in milliseconds. It is ten times the cost of
	 * a move including a new connection.
	 */
	private static final double MIN_GAIN_MS = 600;

	/** Targets of equal speed fluctuate by less than this ratio. */
	private static final double MIN_SPEED_RATIO = 1.2;

	/**
	 * Load alone does not slow a target by this ratio, so one that differs this much is
	 * itself slow.
	 */
	private static final double SLOW_TARGET_RATIO = 2;

	/**
	 * The time after a move during which the speeds of both targets are unreliable, in
	 * milliseconds. It covers ten events, after which two thirds of the moving average
	 * come from the new load.
	 */
	private static final long SETTLE_MS = 500;

	/**
	 * The time that a first move to a target that is faster by nature must save the last
	 * item of a group, in milliseconds. Frequent moves cost the others more than they
	 * save: each closes a connection, and the prompt and the text are read again.
	 */
	private static final double MIN_LAST_ITEM_GAIN_MS = 1_000;

	private MovePolicy() {
	}

	/**
	 * Returns whether moving an item saves enough time. Item lengths have a long tail, so
	 * the remaining length is at least the length so far. Each move of an item must save
	 * twice as much as the previous one: a speed measured under another load is only a
	 * guess, and items that follow such guesses back and forth slow each other down. If
	 * two targets may differ only by their load, one item moves at a time.
	 * @param item the item
	 * @param from the speed of the target that runs the item
	 * @param to the speed of a target that has room
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if the item should move
	 */
	public static boolean isWorthMoving(RunningItem item, TargetSpeed from, TargetSpeed to, long nowMs) {
		if (to.eventMs() <= 0 || from.eventMs() < MIN_SPEED_RATIO * to.eventMs()) {
			return false;
		}
		boolean settled = nowMs - Math.max(from.movedAtMs(), to.movedAtMs()) >= SETTLE_MS;
		if (!settled && from.eventMs() < SLOW_TARGET_RATIO * to.eventMs()) {
			return false;
		}
		return item.remainingEvents() * (from.eventMs() - to.eventMs()) > MIN_GAIN_MS * Math.pow(2, item.moveCount());
	}

	/**
	 * Returns why an item should leave a target that states how long work takes there. A
	 * target that has become slower than usual is left as any other. One that is slow by
	 * nature is left only by an item for which its group waits, since the others can end
	 * there in time.
	 * @param item the item
	 * @param from the speed of the target that runs the item
	 * @param to the speed of a target that has room
	 * @param othersMs the remaining time of the other items of the group, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the reason, or NONE if the item should stay
	 */
	public static MoveReason moveReason(RunningItem item, UnevenSpeed from, UnevenSpeed to, double othersMs,
			long nowMs) {
		if (from.becameSlow() && isWorthMoving(item, from.recent(), to.recent(), nowMs)) {
			return MoveReason.BECAME_SLOW;
		}
		boolean last = item.remainingEvents() * from.usualEventMs() >= othersMs;
		return (last && gainMs(item, from, to) >= MIN_LAST_ITEM_GAIN_MS * Math.pow(2, item.moveCount()))
				? MoveReason.SLOW_BY_NATURE : MoveReason.NONE;
	}

	/**
	 * Returns whether an item could have a reason to leave a target, whatever the others
	 * are like.
	 * @param item the item
	 * @param from the speed of the target that runs the item
	 * @return false if {@link #moveReason} is NONE for any other target
	 */
	public static boolean mayMove(RunningItem item, UnevenSpeed from) {
		return from.becameSlow() || item.remainingEvents() * from.usualEventMs() >= MIN_LAST_ITEM_GAIN_MS;
	}

	/**
	 * Returns how much sooner an item ends at another target that is faster by nature.
	 * @param item the item
	 * @param from the speed of the target that runs the item
	 * @param to the speed of the other target
	 * @return the time in milliseconds, 0 or less if nothing is gained or known
	 */
	private static double gainMs(RunningItem item, UnevenSpeed from, UnevenSpeed to) {
		boolean known = from.usualEventMs() > 0 && to.usualEventMs() > 0;
		return known ? item.remainingEvents() * (from.usualEventMs() - to.usualEventMs()) - to.firstEventMs() : 0;
	}

	/** Why an item leaves a target that states how long work takes there. */
	public enum MoveReason {

		/** The item stays. */
		NONE,

		/** The target has become slower than it usually is. */
		BECAME_SLOW,

		/** The target is usually slower than the other. */
		SLOW_BY_NATURE

	}

	/**
	 * The speed of a target of which the usual speed is known.
	 *
	 * @param recent the measured speed
	 * @param usualEventMs the usual time per output event, in milliseconds, 0 if unknown
	 * @param firstEventMs the time from sending an item to its first event, in
	 * milliseconds
	 * @param becameSlow true if the target has been much slower than usual for some time
	 */
	public record UnevenSpeed(TargetSpeed recent, double usualEventMs, double firstEventMs, boolean becameSlow) {
	}

	/**
	 * The measured speed of a target.
	 *
	 * @param eventMs the mean time per output event, in milliseconds, 0 if unknown
	 * @param movedAtMs the monotonic time at which an item last moved to or from the
	 * target, in milliseconds
	 */
	public record TargetSpeed(double eventMs, long movedAtMs) {
	}

	/**
	 * An item that a target is generating.
	 *
	 * @param doneEvents the number of events so far
	 * @param expectedEvents the estimated number of events
	 * @param moveCount the number of times that it has moved to a faster target
	 */
	public record RunningItem(int doneEvents, double expectedEvents, int moveCount) {

		/**
		 * Returns the expected number of events to come. Item lengths have a long tail,
		 * so it is at least the number so far.
		 * @return the number of events
		 */
		public double remainingEvents() {
			return Math.max(this.expectedEvents - this.doneEvents, this.doneEvents);
		}

	}

}
