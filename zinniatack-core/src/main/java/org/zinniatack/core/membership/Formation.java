package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.SortedSet;
import java.util.TreeSet;

import org.zinniatack.core.consensus.Membership;

/**
 * Decides what a control process with an empty disk does. A system is formed only when
 * all its founding members answer that their disks are empty, so an emptied disk never
 * founds a second system beside the first.
 *
 * @param action what to do
 * @param membership the founding members, empty unless the action is FORM
 */
public record Formation(Action action, Membership membership) {

	/**
	 * Decides on the answers of the other founding members.
	 * @param ownId the id of the deciding replica
	 * @param otherCount the number of other founding members
	 * @param answers the answers received so far, one a member
	 * @return the decision
	 */
	public static Formation decide(String ownId, int otherCount, Collection<PeerState> answers) {
		return decide(ownId, otherCount, answers, true);
	}

	/**
	 * Decides on the answers of the founding members, which this process need not be one
	 * of.
	 * @param ownId the id of the deciding replica
	 * @param otherCount the number of other founding members
	 * @param answers the answers received so far, one a member
	 * @param founder true if the deciding process may found the system
	 * @return the decision
	 */
	public static Formation decide(String ownId, int otherCount, Collection<PeerState> answers, boolean founder) {
		if (answers.stream().anyMatch(PeerState::formed)) {
			return new Formation(Action.JOIN, Membership.empty());
		}
		if (!founder || answers.size() < otherCount) {
			return new Formation(Action.WAIT, Membership.empty());
		}
		SortedSet<String> members = new TreeSet<>();
		members.add(ownId);
		answers.forEach((answer) -> members.add(answer.replicaId()));
		return new Formation(Action.FORM, Membership.ofVoters(members));
	}

	/** What a process with an empty disk does. */
	public enum Action {

		/** Ask again later. */
		WAIT,

		/** Found the system with the membership. */
		FORM,

		/** Start empty and ask the leader for admission. */
		JOIN

	}

	/**
	 * What another founding member says.
	 *
	 * @param replicaId its id
	 * @param formed true if its disk holds state
	 */
	public record PeerState(String replicaId, boolean formed) {
	}

}
