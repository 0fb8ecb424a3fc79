package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.SortedSet;
import java.util.TreeSet;

import org.zinniatack.core.consensus.Membership;

/**
 * The decision whether a control process with an empty disk forms a system or joins one.
 * A system is formed only if all founding members report empty disks, so a member that
 * lost its disk cannot form a second system.
 *
 * @param action the action to take
 * @param membership the founding members, empty unless the action is FORM
 */
public record Formation(Action action, Membership membership) {

	/**
	 * Decides from the reported states of the other founding members.
	 * @param ownId the id of the deciding replica
	 * @param otherCount the number of other founding members
	 * @param peerStates the states received so far, at most one per member
	 * @return the decision
	 */
	public static Formation decide(String ownId, int otherCount, Collection<PeerState> peerStates) {
		return decide(ownId, otherCount, peerStates, true);
	}

	/**
	 * Decides from the reported states of the founding members. The deciding process need
	 * not be one of them.
	 * @param ownId the id of the deciding replica
	 * @param otherCount the number of other founding members
	 * @param peerStates the states received so far, at most one per member
	 * @param founder true if the deciding process may form the system
	 * @return the decision
	 */
	public static Formation decide(String ownId, int otherCount, Collection<PeerState> peerStates, boolean founder) {
		if (peerStates.stream().anyMatch(PeerState::formed)) {
			return new Formation(Action.JOIN, Membership.empty());
		}
		if (!founder || peerStates.size() < otherCount) {
			return new Formation(Action.WAIT, Membership.empty());
		}
		SortedSet<String> members = new TreeSet<>();
		members.add(ownId);
		peerStates.forEach((peer) -> members.add(peer.replicaId()));
		return new Formation(Action.FORM, Membership.ofVoters(members));
	}

	/** The next action of a process with an empty disk. */
	public enum Action {

		/** Ask again later. */
		WAIT,

		/** Form the system with the founding members. */
		FORM,

		/** Start empty and request to join as a learner. */
		JOIN

	}

	/**
	 * The state that another founding member reports.
	 *
	 * @param replicaId its id
	 * @param formed true if its disk holds the state of a system
	 */
	public record PeerState(String replicaId, boolean formed) {
	}

}
