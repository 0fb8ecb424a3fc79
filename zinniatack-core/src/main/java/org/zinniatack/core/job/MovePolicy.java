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
		double remainingEvents = Math.max(item.expectedEvents() - item.doneEvents(), item.doneEvents());
		return remainingEvents * (from.eventMs() - to.eventMs()) > MIN_GAIN_MS * Math.pow(2, item.moveCount());
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
	}

}
