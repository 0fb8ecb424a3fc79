package org.zinniatack.core.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A request that was lost on targets that ended while they ran it.
 *
 * @param digest the digest of the request, or of the request together with its caller
 * @param targets the starts of the targets that ended, in the order of their reports
 * @param lastLossAtMs the time of the last loss, in milliseconds; since the epoch in
 * reports and in the state of control
 * @param failedTrials how many targets ended under trials after a quarantine
 */
public record Suspicion(String digest, List<String> targets, long lastLossAtMs, int failedTrials) {

	private static final int MAXIMUM_TARGETS = 16;

	/**
	 * Copies the targets.
	 */
	public Suspicion {
		targets = List.copyOf(targets);
	}

	/**
	 * Creates the suspicion of a request that had no trial.
	 * @param digest the digest of the request
	 * @param targets the starts of the targets that ended
	 * @param lastLossAtMs the time of the last loss, in milliseconds
	 */
	public Suspicion(String digest, List<String> targets, long lastLossAtMs) {
		this(digest, targets, lastLossAtMs, 0);
	}

	/**
	 * Returns the same suspicion by another clock.
	 * @param atMs the time of the last loss by that clock, in milliseconds
	 * @return the suspicion
	 */
	public Suspicion at(long atMs) {
		return new Suspicion(this.digest, this.targets, atMs, this.failedTrials);
	}

	/** Returns the suspicion after one more failed trial. */
	Suspicion afterFailedTrial() {
		return new Suspicion(this.digest, this.targets, this.lastLossAtMs, this.failedTrials + 1);
	}

	/** Returns this suspicion with those of the other's targets that it lacks. */
	Suspicion and(Suspicion other) {
		Set<String> all = new LinkedHashSet<>(this.targets);
		all.addAll(other.targets);
		List<String> kept = new ArrayList<>(all).subList(0, Math.min(all.size(), MAXIMUM_TARGETS));
		return new Suspicion(this.digest, kept, Math.max(this.lastLossAtMs, other.lastLossAtMs),
				Math.max(this.failedTrials, other.failedTrials));
	}

	/**
	 * Returns whether each target that ended under another request also ran this one. The
	 * same request of another caller explains nothing.
	 */
	boolean explains(Suspicion other) {
		return !RequestIdentity.withoutCaller(this.digest).equals(RequestIdentity.withoutCaller(other.digest))
				&& this.targets.containsAll(other.targets);
	}

}
