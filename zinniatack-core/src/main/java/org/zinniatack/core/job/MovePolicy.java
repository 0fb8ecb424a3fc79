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

	private MovePolicy() {
	}

	/**
	 * Returns whether a faster target saves enough. An item that has outlived its
	 * estimate is expected to last as long again: lengths have a long tail.
	 * @param doneEvents the events so far
	 * @param expectedEvents the estimated number of events
	 * @param eventMs what an event takes where it runs, in milliseconds
	 * @param otherEventMs what an event takes at the other target, in milliseconds, 0 if
	 * unknown
	 * @return true if the item should move
	 */
	public static boolean isWorthMoving(int doneEvents, double expectedEvents, double eventMs, double otherEventMs) {
		if (otherEventMs <= 0 || eventMs < LEAST_RATIO * otherEventMs) {
			return false;
		}
		double leftEvents = Math.max(expectedEvents - doneEvents, doneEvents);
		return leftEvents * (eventMs - otherEventMs) > LEAST_GAIN_MS;
	}

}
