package org.zinniatack.core.consensus;

import java.util.Objects;

/**
 * The id, timing and batch size of a replica.
 *
 * @param id the replica's id, unique for each data folder
 * @param heartbeatIntervalMs the time between two heartbeats, in milliseconds
 * @param electionTimeoutMs how long a replica that heard from a leader waits for it, in
 * milliseconds; each wait is drawn between this and twice this
 * @param leaseDurationMs how long the leader's lease lasts after it sent a message that a
 * quorum acknowledged, in milliseconds
 * @param maximumBatchEntries the largest number of entries in one message
 */
public record ReplicaSettings(String id, long heartbeatIntervalMs, long electionTimeoutMs, long leaseDurationMs,
		int maximumBatchEntries) {

	private static final long DEFAULT_HEARTBEAT_INTERVAL_MS = 100;

	private static final long DEFAULT_ELECTION_TIMEOUT_MS = 450;

	private static final long DEFAULT_LEASE_DURATION_MS = 380;

	private static final int DEFAULT_MAXIMUM_BATCH_ENTRIES = 256;

	/**
	 * Checks that the lease ends before another replica can be elected.
	 */
	public ReplicaSettings {
		Objects.requireNonNull(id, "id");
		if (leaseDurationMs >= electionTimeoutMs) {
			throw new IllegalArgumentException(
					"leaseDurationMs " + leaseDurationMs + " must be below electionTimeoutMs " + electionTimeoutMs);
		}
	}

	/**
	 * Returns settings with the default timing.
	 * @param id the replica's id
	 * @return the settings
	 */
	public static ReplicaSettings defaults(String id) {
		return new ReplicaSettings(id, DEFAULT_HEARTBEAT_INTERVAL_MS, DEFAULT_ELECTION_TIMEOUT_MS,
				DEFAULT_LEASE_DURATION_MS, DEFAULT_MAXIMUM_BATCH_ENTRIES);
	}

	/**
	 * Returns how long a VM may be suspended, with its monotonic clock, while no other
	 * replica can be elected before a lease ends. The other half of the time between both
	 * is for clocks that drift.
	 * @return the time in milliseconds
	 */
	public long unnoticedSuspensionMs() {
		return (this.electionTimeoutMs - this.leaseDurationMs) / 2;
	}

}
