package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.zinniatack.core.consensus.Membership;

/**
 * Decides the next change of the members: a replica that asks to join becomes a learner,
 * a learner that has caught up becomes a voter, and a voter whose disk was emptied leaves
 * once its successor votes.
 */
public final class MemberChange {

	private static final char SEPARATOR = '.';

	private MemberChange() {
	}

	/**
	 * Returns the next membership.
	 * @param current the current membership
	 * @param joining the ids that ask to join
	 * @param caughtUp the learners that hold every committed entry
	 * @return the next membership, or empty if nothing is to change
	 */
	public static Optional<Membership> next(Membership current, Collection<String> joining, List<String> caughtUp) {
		Optional<String> replaced = current.voters()
			.stream()
			.filter((id) -> current.voters().stream().anyMatch((other) -> succeeds(other, id, joining)))
			.findFirst();
		if (replaced.isPresent()) {
			return replaced.map(current::without);
		}
		Optional<String> promoted = caughtUp.stream().filter(joining::contains).findFirst();
		if (promoted.isPresent()) {
			return promoted.map(current::withVoter);
		}
		return joining.stream().filter((id) -> !current.all().contains(id)).findFirst().map(current::withLearner);
	}

	private static boolean succeeds(String successor, String id, Collection<String> joining) {
		return !successor.equals(id) && nameOf(successor).equals(nameOf(id)) && joining.contains(successor)
				&& !joining.contains(id);
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
