package org.zinniatack.core.consensus;

/**
 * A copy of the replicated state as of a log entry; replaces the log up to that entry.
 * The copy itself is on the disk of the replica.
 *
 * @param index the index of the last entry that the snapshot covers, 0 for none
 * @param term the term of that entry
 * @param membership the members as of that entry
 * @param sizeBytes the size of the encoded state, in bytes
 */
public record Snapshot(long index, long term, Membership membership, long sizeBytes) {

	/** The size in which the encoded state is written and sent, in bytes. */
	public static final int PART_BYTES = 256 * 1024;

	/**
	 * Returns a snapshot that covers nothing.
	 * @return the empty snapshot
	 */
	public static Snapshot empty() {
		return new Snapshot(0, 0, Membership.empty(), 0);
	}

}
