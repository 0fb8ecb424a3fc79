package org.zinniatack.core.consensus;

import java.util.Objects;

/**
 * One entry of the replicated log.
 *
 * @param index the position, counted from 1
 * @param term the term of the leader that created the entry
 * @param kind the type of the payload
 * @param membership the members from this entry on, empty unless the kind is MEMBERSHIP
 * @param command the encoded command, empty unless the kind is COMMAND
 */
public record LogEntry(long index, long term, Kind kind, Membership membership, byte[] command) {

	private static final byte[] NO_COMMAND = new byte[0];

	/**
	 * Checks the arguments.
	 */
	public LogEntry {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(membership, "membership");
		Objects.requireNonNull(command, "command");
	}

	/**
	 * Returns an entry that carries a command.
	 * @param index the position
	 * @param term the leader's term
	 * @param command the encoded command
	 * @return the entry
	 */
	public static LogEntry command(long index, long term, byte[] command) {
		return new LogEntry(index, term, Kind.COMMAND, Membership.empty(), command);
	}

	/**
	 * Returns an entry that carries a part of a command other than its last. The next
	 * entry of the same term continues it.
	 * @param index the position
	 * @param term the leader's term
	 * @param part the bytes of the part
	 * @return the entry
	 */
	public static LogEntry part(long index, long term, byte[] part) {
		return new LogEntry(index, term, Kind.PART, Membership.empty(), part);
	}

	/**
	 * Returns an entry that changes the members.
	 * @param index the position
	 * @param term the leader's term
	 * @param membership the members from this entry on
	 * @return the entry
	 */
	public static LogEntry membership(long index, long term, Membership membership) {
		return new LogEntry(index, term, Kind.MEMBERSHIP, membership, NO_COMMAND);
	}

	/**
	 * Returns the empty entry that a new leader appends first; once it is committed, so
	 * are all entries of earlier terms.
	 * @param index the position
	 * @param term the leader's term
	 * @return the entry
	 */
	public static LogEntry noop(long index, long term) {
		return new LogEntry(index, term, Kind.NOOP, Membership.empty(), NO_COMMAND);
	}

	/** The type of an entry. */
	public enum Kind {

		/** A command for the replicated state. */
		COMMAND,

		/** A change of the members. */
		MEMBERSHIP,

		/** No payload; the first entry of a leader's term. */
		NOOP,

		/** A part of a command, which the next entry of the same term continues. */
		PART

	}

}
