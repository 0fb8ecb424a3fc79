package org.zinniatack.core.consensus;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.zinniatack.core.result.ServiceException;

/**
 * Raft replica as a state machine without input or output. Its owner passes in the time
 * and received messages and carries out the {@link Effects} that it collects. Not thread
 * safe.
 */
public interface Replica {

	/**
	 * Returns a replica that resumes from its durable state.
	 * @param settings the timing and the replica's id
	 * @param state the state loaded from disk
	 * @param random the source of randomness for election timeouts
	 * @param idleSinceMs a monotonic time since which no replica has acted on this state,
	 * at most {@code nowMs}, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the replica, as a follower
	 */
	static Replica start(ReplicaSettings settings, PersistentState state, RandomGenerator random, long idleSinceMs,
			long nowMs) {
		return new RaftReplica(settings, state, random, idleSinceMs, nowMs);
	}

	/**
	 * Runs what is due: a leader sends heartbeats, or steps down if it has lost contact
	 * with the quorum; another voter starts an election after its timeout.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	void tick(long nowMs);

	/**
	 * Proposes a membership that differs from the current one by at most one voter.
	 * @param membership the new membership
	 * @return the index of the entry
	 * @throws ServiceException with NOT_LEADER if this replica does not lead, or
	 * NOT_ACCEPTED if an earlier change or the first entry of the term is not committed,
	 * or more than one voter changes
	 */
	long changeMembership(Membership membership) throws ServiceException;

	/**
	 * Returns the index up to which entries are committed.
	 * @return the commit index
	 */
	long commitIndex();

	/**
	 * Replaces the log up to an applied index by a snapshot.
	 * @param index an index that has been applied
	 * @param sizeBytes the size of the encoded state as of the index, in bytes
	 * @return the snapshot, which the owner has stored
	 */
	Snapshot compact(long index, long sizeBytes);

	/**
	 * Returns the index up to which a snapshot has replaced the log.
	 * @return the index, 0 for none
	 */
	long compactedIndex();

	/**
	 * Returns a snapshot of unknown size as of an applied index without compacting the
	 * log.
	 * @param index an index that has been applied and is not compacted
	 * @return the snapshot
	 */
	Snapshot snapshotAt(long index);

	/**
	 * Returns when the replica last knew that it held every accepted change: on a leader
	 * the sending time of the newest message that a quorum acknowledged, on a follower
	 * the arrival of the last append request whose commit index it had reached.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return a time in milliseconds, far in the past if never
	 */
	long currentAsOfMs(long nowMs);

	/**
	 * Returns whether the replica leads with a valid lease and has committed an entry of
	 * its term, so that its state includes every accepted change.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if no other replica can lead at this time
	 */
	boolean holdsLease(long nowMs);

	/**
	 * Returns whether the replica leads its term, possibly without a valid lease.
	 * @return true if it leads its term
	 */
	boolean isLeader();

	/**
	 * Returns when the lease expires.
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
	 * Returns the learners that hold every entry that the leader had committed up to a
	 * heartbeat interval ago.
	 * @return the ids, empty unless this replica leads
	 */
	List<String> caughtUpLearners();

	/**
	 * Returns the voters that have not answered the leader for longer than a limit.
	 * @param nowMs the monotonic time, in milliseconds
	 * @param limitMs the time without an answer, in milliseconds
	 * @return the ids, empty unless this replica has led for at least the limit
	 */
	List<String> unresponsiveVoters(long nowMs, long limitMs);

	/**
	 * Returns the newest membership in the log, committed or not.
	 * @return the membership
	 */
	Membership membership();

	/**
	 * Tells the replica up to which index its entries are synced to disk.
	 * @param index the index of the last synced entry
	 */
	void markPersisted(long index);

	/**
	 * Proposes a command. A large one is divided into several entries, since heartbeats
	 * would wait for a large entry.
	 * @param command the encoded command
	 * @return the index of its last entry; it is accepted once an entry of this term is
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
	 * Returns the effects collected since the last call and clears them.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the effects
	 */
	Effects takeEffects(long nowMs);

	/**
	 * Returns the replica's current term.
	 * @return the term, which is also the fencing token of its leader
	 */
	long term();

	/**
	 * Transfers leadership to the voter with the highest match index and steps down at
	 * once.
	 * @param isPreferred tells by its id which of several such voters to choose
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if a follower was asked
	 */
	boolean transferLeadership(Predicate<String> isPreferred, long nowMs);

}
