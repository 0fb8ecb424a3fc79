package org.zinniatack.control;

import org.zinniatack.core.consensus.Membership;

/**
 * What a replica is at one moment.
 *
 * @param replicaId the id of the replica
 * @param term the term, which fences the orders of its leader
 * @param leaderId the id of the leader, empty if unknown
 * @param leaseEndMs the end of the replica's lease by its monotonic clock
 * @param open true if the replica leads and holds all that was accepted
 * @param currentAsOfMs when the replica last held all that was accepted
 * @param commitIndex the index of the last committed entry
 * @param appliedIndex the index of the last applied entry
 * @param membership the members
 * @param writable false while the disk refuses writes
 */
public record ReplicaStatus(String replicaId, long term, String leaderId, long leaseEndMs, boolean open,
		long currentAsOfMs, long commitIndex, long appliedIndex, Membership membership, boolean writable) {

	/**
	 * Returns whether this replica was alone in charge at a time.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if its lease holds
	 */
	public boolean holdsLease(long nowMs) {
		return this.open && nowMs < this.leaseEndMs;
	}

	/**
	 * Returns whether this replica leads.
	 * @return true if it is the leader that it knows
	 */
	public boolean isLeader() {
		return this.leaderId.equals(this.replicaId);
	}

}
