package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.zinniatack.core.consensus.Membership;

/**
 * Decides the next change of the members: a replica that asks to join becomes a learner,
 * a learner that has caught up becomes a voter, a voter whose disk was emptied leaves
 * once its successor votes, and a learner whose disk was emptied leaves at once.
 */
public final class MemberChange {

	private static final char SEPARATOR = '.';

	private MemberChange() {
	}

	/**
	 * Returns the next membership.
	 * @param current the current membership
	 * @param joining the ids that ask to join, at most one a name
	 * @param caughtUp the learners that hold every committed entry
	 * @return the next membership, or empty if nothing is to change
	 */
	public static Optional<Membership> next(Membership current, Collection<String> joining, List<String> caughtUp) {
		Optional<String> replaced = current.all().stream().filter((id) -> isReplaced(current, id, joining)).findFirst();
		if (replaced.isPresent()) {
			return replaced.map(current::without);
		}
		Optional<String> promoted = caughtUp.stream().filter(joining::contains).findFirst();
		if (promoted.isPresent()) {
			return promoted.map(current::withVoter);
		}
		return joining.stream().filter((id) -> !current.all().contains(id)).findFirst().map(current::withLearner);
	}

	private static boolean isReplaced(Membership current, String id, Collection<String> joining) {
		return joining.stream()
			.filter((successor) -> !successor.equals(id) && nameOf(successor).equals(nameOf(id)))
			.anyMatch((successor) -> !current.voters().contains(id) || current.voters().contains(successor));
	}

	/**
	 * Returns the name of a replica.
	 * @param replicaId the id, a name and an incarnation
	 * @return the name
	 */
	public static String nameOf(String replicaId) {
		return replicaId.substring(0, replicaId.indexOf(SEPARATOR));
	}

}
