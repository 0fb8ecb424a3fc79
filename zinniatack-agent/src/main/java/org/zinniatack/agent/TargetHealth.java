package org.zinniatack.agent;

/**
 * Knows whether a target answers, and counts its crashes. A crash may be noticed by a
 * check, by a request whose connection is lost, or by both, in any order.
 */
final class TargetHealth {

	private static final int UNHEALTHY_AFTER_FAILED_CHECKS = 2;

	private boolean healthy;

	private boolean answeredSinceCrash;

	private int failedCheckCount;

	private long crashCount;

	/** Returns whether the target answered and has not failed since. */
	synchronized boolean isHealthy() {
		return this.healthy;
	}

	/** Returns the number of crashes. */
	synchronized long crashCount() {
		return this.crashCount;
	}

	/** Records an answer to a check, and returns whether the target was not healthy. */
	synchronized boolean recordAnswer() {
		boolean changed = !this.healthy;
		this.healthy = true;
		this.answeredSinceCrash = true;
		this.failedCheckCount = 0;
		return changed;
	}

	/** Records a failed check, and returns whether it makes the target unhealthy. */
	synchronized boolean recordFailedCheck() {
		this.failedCheckCount++;
		boolean changed = this.healthy && this.failedCheckCount >= UNHEALTHY_AFTER_FAILED_CHECKS;
		this.healthy &= !changed;
		return changed;
	}

	/**
	 * Records that the target does not answer after it lost the connection of a request.
	 * Returns whether this crash was not counted before.
	 */
	synchronized boolean recordCrash() {
		boolean counted = this.answeredSinceCrash;
		this.healthy = false;
		this.answeredSinceCrash = false;
		if (counted) {
			this.crashCount++;
		}
		return counted;
	}

}
