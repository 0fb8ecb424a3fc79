package org.zinniatack.core.consensus;

/**
 * The replicated state as of a log entry; replaces the log up to that entry.
 *
 * @param index the index of the last entry that the snapshot covers, 0 for none
 * @param term the term of that entry
 * @param membership the members as of that entry
 * @param state the encoded state
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {

	/**
	 * Returns a snapshot that covers nothing.
	 * @return the empty snapshot
	 */
	public static Snapshot empty() {
		return new Snapshot(0, 0, Membership.empty(), new byte[0]);
	}

}
