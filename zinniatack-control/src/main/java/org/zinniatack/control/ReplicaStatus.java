package org.zinniatack.control;

import org.zinniatack.core.consensus.Membership;

/**
 * The status of a replica at one moment. The state dump writes the components under their
 * names.
 *
 * @param replicaId the id of the replica
 * @param term the term, which is the fencing token of its leader
 * @param leaderId the id of the leader, empty if unknown
 * @param leaseEndMs the monotonic time at which the replica's lease expires, in
 * milliseconds
 * @param open true if the replica held a valid lease as leader and its state included
 * every accepted change
 * @param currentAsOfMs the monotonic time at which the replica last held every accepted
 * change, in milliseconds
 * @param commitIndex the index of the last committed entry
 * @param appliedIndex the index of the last applied entry
 * @param membership the newest membership in the log
 * @param writable false while writes to the disk fail
 * @param suspensionCount the number of suspensions of the VM that the replica has taken
 * into account
 */
public record ReplicaStatus(String replicaId, long term, String leaderId, long leaseEndMs, boolean open,
		long currentAsOfMs, long commitIndex, long appliedIndex, Membership membership, boolean writable,
		int suspensionCount) {

	/**
	 * Returns whether this replica holds the leader lease, so that no other can lead.
	 * @param nowMs the monotonic time, in milliseconds
	 * @param currentSuspensionCount the number of suspensions of the VM at this time
	 * @return true if its lease is valid at this time and no suspension makes that
	 * uncertain
	 */
	public boolean holdsLease(long nowMs, int currentSuspensionCount) {
		return this.open && nowMs < this.leaseEndMs && currentSuspensionCount == this.suspensionCount;
	}

	/**
	 * Returns whether this replica leads.
	 * @return true if it is the leader of its term
	 */
	public boolean isLeader() {
		return this.leaderId.equals(this.replicaId);
	}

}
