package org.zinniatack.control;

/**
 * Makes a snapshot due once the journal has the size of the last snapshot, so that the
 * bytes of snapshots stay in proportion to those of the changes. The floors keep a small
 * state from being written constantly. The ceiling bounds the entries in memory beside a
 * large state.
 *
 * @param floorBytes the size that a journal may always have, in bytes
 * @param floorEntries the number of entries that a journal may always have
 * @param spreadBytes what the journal of this process may have beyond the others', in
 * bytes, so that not all replicas write a snapshot at the same time
 */
record ProportionalSnapshots(long floorBytes, long floorEntries, long spreadBytes) implements SnapshotPolicy {

	static final long FLOOR_BYTES = 8 * 1024 * 1024;

	static final long FLOOR_ENTRIES = 4096;

	static final long MAXIMUM_SPREAD_BYTES = 4 * 1024 * 1024;

	static final long CEILING_BYTES = 24 * 1024 * 1024;

	/** Small entries cost more in memory and at a restart than their bytes. */
	private static final long TYPICAL_ENTRY_BYTES = 256;

	@Override
	public boolean isDue(long snapshotBytes, long journalBytes, long entries) {
		return journalBytes - this.spreadBytes >= Math.max(this.floorBytes, Math.min(CEILING_BYTES, snapshotBytes))
				|| entries >= Math.max(this.floorEntries, snapshotBytes / TYPICAL_ENTRY_BYTES);
	}

}
