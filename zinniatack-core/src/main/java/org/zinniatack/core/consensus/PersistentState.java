package org.zinniatack.core.consensus;

import java.util.List;

/**
 * What a replica finds on its disk at the start.
 *
 * @param hardState the hard state
 * @param snapshot the newest snapshot
 * @param entries the entries after the snapshot
 */
public record PersistentState(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {

	/**
	 * Returns the state of an empty disk.
	 * @return the empty state
	 */
	public static PersistentState empty() {
		return new PersistentState(HardState.initial(), Snapshot.empty(), List.of());
	}

	/**
	 * Returns the state with which the members of a new log start.
	 * @param membership the founding members
	 * @return a state with one committed entry that names the members
	 */
	public static PersistentState bootstrap(Membership membership) {
		return new PersistentState(HardState.initial(), Snapshot.empty(),
				List.of(LogEntry.membership(1, 0, membership)));
	}

}
