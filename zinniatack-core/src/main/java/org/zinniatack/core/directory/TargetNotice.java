package org.zinniatack.core.directory;

import java.util.Map;

/**
 * What a target said of itself last.
 *
 * @param id the id of the target, which a later start may use again
 * @param bornMs the time of its start, in milliseconds since the epoch
 * @param sequence the number of the announcement, rising from each start
 * @param pool the pool that it serves
 * @param address host and port
 * @param failureDomain where it stands
 * @param state whether it takes requests
 * @param slotCount the requests that it runs at once
 * @param weightVersions the loaded weight version by model
 */
public record TargetNotice(String id, long bornMs, long sequence, String pool, String address, String failureDomain,
		State state, int slotCount, Map<String, Long> weightVersions) {

	/**
	 * Copies the arguments.
	 */
	public TargetNotice {
		weightVersions = Map.copyOf(weightVersions);
	}

	/**
	 * Returns whether this is said later than another notice of the same id.
	 * @param other the other notice
	 * @return true if this one replaces the other
	 */
	public boolean isNewerThan(TargetNotice other) {
		return (this.bornMs != other.bornMs) ? this.bornMs > other.bornMs : this.sequence > other.sequence;
	}

	/**
	 * Returns this notice with another state.
	 * @param newState the state
	 * @return the notice, otherwise the same
	 */
	public TargetNotice withState(State newState) {
		return new TargetNotice(this.id, this.bornMs, this.sequence, this.pool, this.address, this.failureDomain,
				newState, this.slotCount, this.weightVersions);
	}

	/**
	 * Returns this notice as one of a target that has left.
	 * @return the notice with the state {@link State#GONE}
	 */
	public TargetNotice asGone() {
		return withState(State.GONE);
	}

	/**
	 * Returns this notice as one of a target that takes nothing new.
	 * @return the notice with the state {@link State#DRAINING}
	 */
	public TargetNotice asDraining() {
		return withState(State.DRAINING);
	}

	/** Whether a target takes requests. */
	public enum State {

		/** It takes requests. */
		READY,

		/** It finishes what it has and takes nothing new. */
		DRAINING,

		/** It has left. */
		GONE

	}

}
