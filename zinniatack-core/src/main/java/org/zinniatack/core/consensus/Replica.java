package org.zinniatack.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.zinniatack.core.result.ServiceException;

/**
 * One member of a replicated log. A replica does no input or output: its owner feeds it
 * the time and received messages and carries out the {@link Effects} that it collects. It
 * is not safe for use by several threads.
 */
public interface Replica {

	/**
	 * Returns a replica that continues from what its disk holds.
	 * @param settings the timing and the replica's id
	 * @param state what the disk holds
	 * @param random the source of election jitter
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the replica, as a follower
	 */
	static Replica start(ReplicaSettings settings, PersistentState state, RandomGenerator random, long nowMs) {
		return new RaftReplica(settings, state, random, nowMs);
	}

	/**
	 * Lets time pass: sends heartbeats, starts elections, gives up a leadership without a
	 * quorum.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	void tick(long nowMs);

	/**
	 * Proposes a membership that differs by at most one voter.
	 * @param membership the new membership
	 * @return the index of the entry
	 * @throws ServiceException with NOT_LEADER if this replica does not lead, or
	 * NOT_ACCEPTED if a change is under way or too large
	 */
	long changeMembership(Membership membership) throws ServiceException;

	/**
	 * Returns the index up to which entries are committed.
	 * @return the commit index
	 */
	long commitIndex();

	/**
	 * Replaces the entries up to an applied index by a snapshot.
	 * @param index an index that has been applied
	 * @param state the encoded state as of the index
	 * @return the snapshot, which the owner must store
	 */
	Snapshot compact(long index, byte[] state);

	/**
	 * Returns a snapshot of an applied index and leaves the log as it is.
	 * @param index an index that has been applied and is not compacted
	 * @param state the encoded state as of the index
	 * @return the snapshot
	 */
	Snapshot snapshotAt(long index, byte[] state);

	/**
	 * Returns when the replica last knew that it held all that was accepted: for a leader
	 * the time that a quorum confirmed, for a follower the last message whose commit
	 * index it holds.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return a time in milliseconds, far in the past if never
	 */
	long currentAsOfMs(long nowMs);

	/**
	 * Returns the entries after an index that earlier effects have named.
	 * @param index an index that is not compacted
	 * @return the entries that a stored snapshot of the index must be followed by
	 */
	List<LogEntry> entriesAfter(long index);

	/**
	 * Returns whether the replica leads and its state is as new as any accepted change.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if no other replica can lead at this time
	 */
	boolean holdsLease(long nowMs);

	/**
	 * Returns whether the replica leads, possibly without a lease.
	 * @return true if it leads its term
	 */
	boolean isLeader();

	/**
	 * Returns the time until which the lease holds.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return a time in milliseconds, in the past if there is no lease
	 */
	long leaseEndMs(long nowMs);

	/**
	 * Returns the leader that the replica follows.
	 * @return the leader's id, or empty if none is known
	 */
	Optional<String> leader();

	/**
	 * Returns the learners that hold every entry that the leader has committed.
	 * @return the ids, empty unless this replica leads
	 */
	List<String> caughtUpLearners();

	/**
	 * Returns the voters that have not answered the leader for long.
	 * @param nowMs the monotonic time, in milliseconds
	 * @param limitMs the silence that counts, in milliseconds
	 * @return the ids, empty unless this replica has led for that long
	 */
	List<String> unresponsiveVoters(long nowMs, long limitMs);

	/**
	 * Returns the members as of the newest entry.
	 * @return the membership
	 */
	Membership membership();

	/**
	 * Tells the replica that the entries of earlier effects are synced.
	 * @param index the index of the last synced entry
	 */
	void markPersisted(long index);

	/**
	 * Proposes a command.
	 * @param command the encoded command
	 * @return the index of the entry; it is accepted once an entry of this term is
	 * committed at the index
	 * @throws ServiceException with NOT_LEADER if this replica does not lead
	 */
	long propose(byte[] command) throws ServiceException;

	/**
	 * Handles a message from another replica.
	 * @param message the message
	 * @param nowMs the monotonic time, in milliseconds
	 */
	void receive(ConsensusMessage message, long nowMs);

	/**
	 * Returns what must be done since the last call, and forgets it.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the effects
	 */
	Effects takeEffects(long nowMs);

	/**
	 * Returns the replica's term.
	 * @return the term, which serves as the fencing number of its leader
	 */
	long term();

	/**
	 * Hands leadership to the follower that is furthest and steps down at once.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if a follower was asked
	 */
	boolean transferLeadership(long nowMs);

}
