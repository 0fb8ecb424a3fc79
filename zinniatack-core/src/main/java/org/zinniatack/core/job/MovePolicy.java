package org.zinniatack.core.job;

/**
 * Decides whether a running item should go on at another target. Its prompt and its
 * output so far are read again there, which takes a few tens of milliseconds, and the
 * connection to the first target is lost.
 */
public final class MovePolicy {

	/**
	 * What a move must save, in milliseconds: ten times what it takes, with a new
	 * connection.
	 */
	private static final double LEAST_GAIN_MS = 600;

	/** Targets of one speed differ by less from moment to moment. */
	private static final double LEAST_RATIO = 1.2;

	/**
	 * A target that is slower by this has turned slow itself; no load makes such a
	 * difference.
	 */
	private static final double SLOW_RATIO = 2;

	/**
	 * How long a move changes the pace of both targets: ten events, of which the moving
	 * mean is then two thirds made.
	 */
	private static final long SETTLE_MS = 500;

	private MovePolicy() {
	}

	/**
	 * Returns whether a faster target saves enough. An item that has outlived its
	 * estimate is expected to last as long again: lengths have a long tail. Each move of
	 * an item must save twice as much as the one before, since a pace that was measured
	 * under another load is a guess, and items that follow such guesses to and fro slow
	 * each other down. Of targets that differ by their load alone, one item moves at a
	 * time.
	 * @param item the item
	 * @param from where it runs
	 * @param to the target with room
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if the item should move
	 */
	public static boolean isWorthMoving(RunningItem item, TargetSpeed from, TargetSpeed to, long nowMs) {
		if (to.eventMs() <= 0 || from.eventMs() < LEAST_RATIO * to.eventMs()) {
			return false;
		}
		boolean settled = nowMs - Math.max(from.movedAtMs(), to.movedAtMs()) >= SETTLE_MS;
		if (!settled && from.eventMs() < SLOW_RATIO * to.eventMs()) {
			return false;
		}
		double leftEvents = Math.max(item.expectedEvents() - item.doneEvents(), item.doneEvents());
		return leftEvents * (from.eventMs() - to.eventMs()) > LEAST_GAIN_MS * Math.pow(2, item.moveCount());
	}

	/**
	 * What is known of a target's pace.
	 *
	 * @param eventMs what an event takes, in milliseconds, 0 if unknown
	 * @param movedAtMs the monotonic time at which an item last came or left by a move,
	 * in milliseconds
	 */
	public record TargetSpeed(double eventMs, long movedAtMs) {
	}

	/**
	 * An item that a target generates.
	 *
	 * @param doneEvents the events so far
	 * @param expectedEvents the estimated number of events
	 * @param moveCount how often it has moved for another pace
	 */
	public record RunningItem(int doneEvents, double expectedEvents, int moveCount) {
	}

}
