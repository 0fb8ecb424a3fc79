package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.zinniatack.core.consensus.Membership;

/**
 * Decides the next membership change. A replica that requests to join becomes a learner,
 * and a learner that has caught up becomes a voter. A voter that lost its disk is removed
 * once its successor is a voter, a learner that lost its disk at once.
 */
public final class MemberChange {

	private static final char INCARNATION_SEPARATOR = '.';

	private MemberChange() {
	}

	/**
	 * Returns the next membership.
	 * @param current the current membership
	 * @param joining the ids of replicas that request to join, at most one per name
	 * @param caughtUp the learners that hold every committed entry
	 * @return the next membership, or empty if no change is due
	 */
	public static Optional<Membership> next(Membership current, Collection<String> joining, List<String> caughtUp) {
		return next(current, joining, caughtUp, ReplaceableMembers.none(), Integer.MAX_VALUE);
	}

	/**
	 * Returns the next membership with a bounded number of voters. A learner above the
	 * bound stays on standby until it can replace a voter that is unresponsive or
	 * retiring. It becomes a voter before the other is removed, so that each entry stays
	 * on as many disks.
	 * @param current the current membership
	 * @param joining the ids of replicas that request to join, at most one per name
	 * @param caughtUp the learners that hold every committed entry
	 * @param replaceable the members that others may replace
	 * @param maximumVoters the largest number of voters
	 * @return the next membership, or empty if no change is due
	 */
	public static Optional<Membership> next(Membership current, Collection<String> joining, List<String> caughtUp,
			ReplaceableMembers replaceable, int maximumVoters) {
		return next(current, joining, caughtUp, replaceable, maximumVoters, DomainSpread.unbounded());
	}

	/**
	 * Returns the next membership with a bounded number of voters in total and in each
	 * failure domain. A learner of the domain with the fewest voters is promoted first.
	 * One whose promotion would exceed the bound of its domain is promoted only if a
	 * voter retires that no other can replace. A domain above the bound gives up a voter,
	 * which becomes a learner, once a learner of another domain votes in its place.
	 * @param current the current membership
	 * @param joining the ids of replicas that request to join, at most one per name
	 * @param caughtUp the learners that hold every committed entry
	 * @param replaceable the members that others may replace
	 * @param maximumVoters the largest number of voters
	 * @param spread the bound on the voters in a failure domain
	 * @return the next membership, or empty if no change is due
	 */
	public static Optional<Membership> next(Membership current, Collection<String> joining, List<String> caughtUp,
			ReplaceableMembers replaceable, int maximumVoters, DomainSpread spread) {
		Optional<String> superseded = current.all()
			.stream()
			.filter((id) -> isSuperseded(current, id, joining))
			.findFirst();
		if (superseded.isPresent()) {
			return superseded.map(current::without);
		}
		Optional<String> retiringLearner = current.learners().stream().filter(replaceable::isRetiring).findFirst();
		if (retiringLearner.isPresent()) {
			return retiringLearner.map(current::without);
		}
		// A voter that answers again before it leaves makes one voter too many, beside
		// whom
		// others must still be able to join.
		Optional<Membership> fewer = (current.voters().size() > maximumVoters)
				? withoutOneVoter(current, replaceable, spread) : Optional.empty();
		if (fewer.isPresent()) {
			return fewer;
		}
		Optional<String> promoted = new Promotion(current, joining, replaceable, maximumVoters, spread)
			.choose(caughtUp);
		if (promoted.isPresent()) {
			return promoted.map(current::withVoter);
		}
		return joining.stream()
			.filter((id) -> !current.all().contains(id) && !replaceable.isRetiring(id))
			.findFirst()
			.map(current::withLearner);
	}

	private static Optional<Membership> withoutOneVoter(Membership current, ReplaceableMembers replaceable,
			DomainSpread spread) {
		Optional<String> replaced = current.voters()
			.stream()
			.filter(replaceable::isReplaceable)
			.min(Comparator.comparing((id) -> !spread.isAboveBound(current, id)));
		return replaced.isPresent() ? replaced.map(current::without)
				: spread.surplusVoter(current).map((id) -> current.without(id).withLearner(id));
	}

	private static boolean isSuperseded(Membership current, String id, Collection<String> joining) {
		return joining.stream()
			.filter((successor) -> !successor.equals(id) && nameOf(successor).equals(nameOf(id)))
			.anyMatch((successor) -> !current.voters().contains(id) || current.voters().contains(successor));
	}

	/**
	 * Returns the member name in a replica id.
	 * @param replicaId the id, made of the name, a dot and an incarnation
	 * @return the name
	 */
	public static String nameOf(String replicaId) {
		return replicaId.substring(0, replicaId.lastIndexOf(INCARNATION_SEPARATOR));
	}

	/**
	 * The members that others may replace.
	 *
	 * @param unresponsiveIds the ids of voters that have not answered for too long
	 * @param retiringNames the names of members that leave permanently
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
		 * Returns the value for a membership in which no member may be replaced.
		 * @return no members
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
