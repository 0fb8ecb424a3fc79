package org.zinniatack.control;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Decides when a snapshot of the state replaces the journal.
 */
@FunctionalInterface
interface SnapshotPolicy {

	/**
	 * Returns the policy of a control process.
	 * @return a policy that keeps the journal in proportion to the snapshot
	 */
	static SnapshotPolicy proportional() {
		return new ProportionalSnapshots(ProportionalSnapshots.FLOOR_BYTES, ProportionalSnapshots.FLOOR_ENTRIES,
				ThreadLocalRandom.current().nextLong(ProportionalSnapshots.MAXIMUM_SPREAD_BYTES));
	}

	/**
	 * Returns whether a snapshot is due.
	 * @param snapshotBytes the size of the last snapshot, in bytes, 0 for none
	 * @param journalBytes the size of the journal since then, in bytes
	 * @param entries the number of entries applied since then
	 * @return true if a snapshot is due
	 */
	boolean isDue(long snapshotBytes, long journalBytes, long entries);

}
