package org.zinniatack.core.consensus;

import java.util.List;

/**
 * The durable state that a replica loads at startup.
 *
 * @param hardState the hard state
 * @param snapshot the newest snapshot
 * @param entries the entries after the snapshot
 */
public record PersistentState(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {

	/**
	 * Returns the newest membership that the state holds, which need not be committed.
	 * @return the membership, without members on an empty disk
	 */
	public Membership membership() {
		Membership newest = this.snapshot.membership();
		for (LogEntry entry : this.entries) {
			newest = (entry.kind() == LogEntry.Kind.MEMBERSHIP) ? entry.membership() : newest;
		}
		return newest;
	}

	/**
	 * Returns the state of an empty disk.
	 * @return the empty state
	 */
	public static PersistentState empty() {
		return new PersistentState(HardState.initial(), Snapshot.empty(), List.of());
	}

	/**
	 * Returns the state that bootstraps each member of a new log.
	 * @param membership the initial members
	 * @return a state with one committed entry that names the members
	 */
	public static PersistentState bootstrap(Membership membership) {
		return new PersistentState(HardState.initial(), Snapshot.empty(),
				List.of(LogEntry.membership(1, 0, membership)));
	}

}
