package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The pending requests of replicas to become members. A replica repeats its request until
 * it is a member, so old requests expire. Of several replicas with one name only the
 * latest counts, since the disks of the others are lost.
 */
public final class JoinRequests {

	private static final long EXPIRY_MS = 60_000;

	private final Map<String, JoinRequest> latestByName = new HashMap<>();

	/**
	 * Records the request of a replica.
	 * @param replicaId the id of the replica
	 * @param nowMs the current time, in milliseconds
	 */
	public void add(String replicaId, long nowMs) {
		this.latestByName.put(MemberChange.nameOf(replicaId), new JoinRequest(replicaId, nowMs));
	}

	/**
	 * Returns the replicas whose requests have not expired.
	 * @param nowMs the current time, in milliseconds
	 * @return the ids, at most one per name
	 */
	public Collection<String> pending(long nowMs) {
		this.latestByName.values().removeIf((request) -> nowMs - request.atMs() > EXPIRY_MS);
		return this.latestByName.values().stream().map(JoinRequest::replicaId).toList();
	}

	/**
	 * A request to join.
	 *
	 * @param replicaId the id of the requesting replica
	 * @param atMs the time of its latest request, in milliseconds
	 */
	private record JoinRequest(String replicaId, long atMs) {
	}

}
