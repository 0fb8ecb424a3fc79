package org.zinniatack.core.directory;

import java.util.Map;
import java.util.Objects;

/**
 * The state that a target announces about itself.
 *
 * @param id the id of the target, which may stay the same after a restart
 * @param bornMs the start time of the target, in milliseconds since the epoch
 * @param sequence the number of the announcement, increasing from each start
 * @param pool the pool that the target serves
 * @param address the host and port of the target
 * @param failureDomain the failure domain of its VM
 * @param state whether the target accepts requests
 * @param slotCount the number of requests that it runs concurrently
 * @param weightVersions the loaded weight version of each model
 * @param coldRemainingMs how much longer the target is cold when it is heard from, in
 * milliseconds, 0 if it is not
 * @param softwareVersion the version of the target's software, empty if it states none;
 * only a target of the same version can continue an output
 */
public record TargetNotice(String id, long bornMs, long sequence, String pool, String address, String failureDomain,
		State state, int slotCount, Map<String, Long> weightVersions, long coldRemainingMs, String softwareVersion) {

	/**
	 * Copies the map of weight versions. A notice of an earlier process names no software
	 * version.
	 */
	public TargetNotice {
		weightVersions = Map.copyOf(weightVersions);
		softwareVersion = Objects.requireNonNullElse(softwareVersion, "");
	}

	/**
	 * Returns a notice of a target that states no software version.
	 * @param id the id of the target
	 * @param bornMs the start time of the target, in milliseconds since the epoch
	 * @param sequence the number of the announcement
	 * @param pool the pool that the target serves
	 * @param address the host and port of the target
	 * @param failureDomain the failure domain of its VM
	 * @param state whether the target accepts requests
	 * @param slotCount the number of requests that it runs concurrently
	 * @param weightVersions the loaded weight version of each model
	 * @param coldRemainingMs how much longer the target is cold, in milliseconds
	 */
	public TargetNotice(String id, long bornMs, long sequence, String pool, String address, String failureDomain,
			State state, int slotCount, Map<String, Long> weightVersions, long coldRemainingMs) {
		this(id, bornMs, sequence, pool, address, failureDomain, state, slotCount, weightVersions, coldRemainingMs, "");
	}

	/**
	 * Returns a notice of a target that is not cold.
	 * @param id the id of the target
	 * @param bornMs the start time of the target, in milliseconds since the epoch
	 * @param sequence the number of the announcement
	 * @param pool the pool that the target serves
	 * @param address the host and port of the target
	 * @param failureDomain the failure domain of its VM
	 * @param state whether the target accepts requests
	 * @param slotCount the number of requests that it runs concurrently
	 * @param weightVersions the loaded weight version of each model
	 */
	public TargetNotice(String id, long bornMs, long sequence, String pool, String address, String failureDomain,
			State state, int slotCount, Map<String, Long> weightVersions) {
		this(id, bornMs, sequence, pool, address, failureDomain, state, slotCount, weightVersions, 0);
	}

	/**
	 * Returns whether this notice is newer than another notice of the same id.
	 * @param other the other notice
	 * @return true if this one replaces the other
	 */
	public boolean isNewerThan(TargetNotice other) {
		return (this.bornMs != other.bornMs) ? this.bornMs > other.bornMs : this.sequence > other.sequence;
	}

	/**
	 * Returns this notice with another state.
	 * @param newState the new state
	 * @return the notice, otherwise the same
	 */
	public TargetNotice withState(State newState) {
		return new TargetNotice(this.id, this.bornMs, this.sequence, this.pool, this.address, this.failureDomain,
				newState, this.slotCount, this.weightVersions, this.coldRemainingMs, this.softwareVersion);
	}

	/**
	 * Returns this notice with another time for which the target is cold.
	 * @param remainingMs the time in milliseconds
	 * @return the notice, otherwise the same
	 */
	public TargetNotice withColdRemaining(long remainingMs) {
		return new TargetNotice(this.id, this.bornMs, this.sequence, this.pool, this.address, this.failureDomain,
				this.state, this.slotCount, this.weightVersions, remainingMs, this.softwareVersion);
	}

	/**
	 * Returns this notice with another software version.
	 * @param version the version
	 * @return the notice, otherwise the same
	 */
	public TargetNotice withSoftwareVersion(String version) {
		return new TargetNotice(this.id, this.bornMs, this.sequence, this.pool, this.address, this.failureDomain,
				this.state, this.slotCount, this.weightVersions, this.coldRemainingMs, version);
	}

	/**
	 * Returns this notice with the target marked as gone.
	 * @return the notice with the state {@link State#GONE}
	 */
	public TargetNotice asGone() {
		return withState(State.GONE);
	}

	/**
	 * Returns this notice with the target marked as draining.
	 * @return the notice with the state {@link State#DRAINING}
	 */
	public TargetNotice asDraining() {
		return withState(State.DRAINING);
	}

	/**
	 * The stages in the life of a target, in the order in which it passes through them.
	 */
	public enum State {

		/** The target accepts requests. */
		READY,

		/** The target finishes its running requests and accepts no new ones. */
		DRAINING,

		/** The target has ended. */
		GONE

	}

}
