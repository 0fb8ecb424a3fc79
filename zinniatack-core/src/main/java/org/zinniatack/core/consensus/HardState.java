package org.zinniatack.core.consensus;

/**
 * The term and vote of a replica, which must survive restarts.
 *
 * @param term the newest term that the replica has seen
 * @param votedFor the id of the candidate that has the replica's vote in the term, empty
 * if none
 */
public record HardState(long term, String votedFor) {

	/**
	 * Returns the state of a replica that has seen no term.
	 * @return the initial state
	 */
	public static HardState initial() {
		return new HardState(0, "");
	}

}
