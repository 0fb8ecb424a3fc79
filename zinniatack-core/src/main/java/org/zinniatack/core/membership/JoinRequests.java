package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The replicas that ask to become members. A replica asks again and again until it is
 * one, so what is older than the memory is forgotten. Of the replicas of one name only
 * the last to ask counts: the others lost their disks.
 */
public final class JoinRequests {

	private static final long MEMORY_MS = 60_000;

	private final Map<String, Asked> lastByName = new HashMap<>();

	/**
	 * Notes that a replica asks.
	 * @param replicaId the id of the replica
	 * @param nowMs the present time in milliseconds
	 */
	public void add(String replicaId, long nowMs) {
		this.lastByName.put(MemberChange.nameOf(replicaId), new Asked(replicaId, nowMs));
	}

	/**
	 * Returns the replicas that ask.
	 * @param nowMs the present time in milliseconds
	 * @return the ids, at most one a name
	 */
	public Collection<String> pending(long nowMs) {
		this.lastByName.values().removeIf((asked) -> nowMs - asked.atMs() > MEMORY_MS);
		return this.lastByName.values().stream().map(Asked::replicaId).toList();
	}

	/**
	 * A request to join.
	 *
	 * @param replicaId the id of the replica that asks
	 * @param atMs the time at which it asked last, in milliseconds
	 */
	private record Asked(String replicaId, long atMs) {
	}

}
