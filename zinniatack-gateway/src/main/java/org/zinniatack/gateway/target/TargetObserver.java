package org.zinniatack.gateway.target;

import org.zinniatack.core.directory.TargetNotice;

/**
 * Accepts what the answers to requests tell about targets.
 */
@FunctionalInterface
public interface TargetObserver {

	/**
	 * A target announced in an answer that it is leaving.
	 * @param target the notice of the target at the time of the request
	 */
	void onLeaving(TargetNotice target);

	/**
	 * Another target answered at the address of a target.
	 * @param target the notice of the target at the time of the request
	 */
	default void onAbsent(TargetNotice target) {
	}

	/**
	 * A target said in an answer that it is cold.
	 * @param target the notice of the target at the time of the request
	 * @param remainingMs how much longer it is cold, in milliseconds
	 */
	default void onCold(TargetNotice target, long remainingMs) {
	}

	/**
	 * A connection to a target was lost.
	 * @param target the notice of the target at the time of the request
	 */
	default void onLost(TargetNotice target) {
	}

}
