package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

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
		return next(current, joining, caughtUp, ReplaceableMembers.none(), Integer.MAX_VALUE);
	}

	/**
	 * Returns the next membership where the number of voters is bounded. A learner above
	 * the bound stands by and takes the place of a voter that is silent or retires. It
	 * votes before the other leaves, so that each entry stays on as many disks.
	 * @param current the current membership
	 * @param joining the ids that ask to join, at most one a name
	 * @param caughtUp the learners that hold every committed entry
	 * @param leaving the members whose place others may take
	 * @param maximumVoters the largest number of voters
	 * @return the next membership, or empty if nothing is to change
	 */
	public static Optional<Membership> next(Membership current, Collection<String> joining, List<String> caughtUp,
			ReplaceableMembers leaving, int maximumVoters) {
		Optional<String> replaced = current.all().stream().filter((id) -> isReplaced(current, id, joining)).findFirst();
		if (replaced.isPresent()) {
			return replaced.map(current::without);
		}
		Optional<String> retired = current.learners().stream().filter(leaving::isRetiring).findFirst();
		if (retired.isPresent()) {
			return retired.map(current::without);
		}
		if (current.voters().size() > maximumVoters) {
			return current.voters().stream().filter(leaving::isReplaceable).findFirst().map(current::without);
		}
		boolean placeIsFree = current.voters().size() < maximumVoters
				|| current.voters().stream().anyMatch(leaving::isReplaceable);
		Optional<String> promoted = caughtUp.stream()
			.filter(joining::contains)
			.filter((id) -> placeIsFree || succeedsVoter(current, id))
			.findFirst();
		if (promoted.isPresent()) {
			return promoted.map(current::withVoter);
		}
		return joining.stream()
			.filter((id) -> !current.all().contains(id) && !leaving.isRetiring(id))
			.findFirst()
			.map(current::withLearner);
	}

	private static boolean succeedsVoter(Membership current, String id) {
		return current.voters().stream().anyMatch((voter) -> nameOf(voter).equals(nameOf(id)));
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
		return replicaId.substring(0, replicaId.lastIndexOf(SEPARATOR));
	}

	/**
	 * The members whose place others may take.
	 *
	 * @param unresponsiveIds the ids of voters that have not answered for long
	 * @param retiringNames the names of members that leave for good
	 */
	public record ReplaceableMembers(Set<String> unresponsiveIds, Set<String> retiringNames) {

		/**
		 * Copies the arguments.
		 */
		public ReplaceableMembers {
			unresponsiveIds = Set.copyOf(unresponsiveIds);
			retiringNames = Set.copyOf(retiringNames);
		}

		/**
		 * Returns that no member leaves.
		 * @return nobody
		 */
		public static ReplaceableMembers none() {
			return new ReplaceableMembers(Set.of(), Set.of());
		}

		boolean isRetiring(String id) {
			return this.retiringNames.contains(nameOf(id));
		}

		boolean isReplaceable(String id) {
			return this.unresponsiveIds.contains(id) || isRetiring(id);
		}

	}

}
