package org.zinniatack.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.membership.MemberChange.ReplaceableMembers;

/**
 * Chooses the learner that becomes a voter.
 *
 * @param current the current membership
 * @param joining the ids of replicas that request to join
 * @param replaceable the members that others may replace
 * @param maximumVoters the largest number of voters
 * @param spread the bound on the voters in a failure domain
 */
record Promotion(Membership current, Collection<String> joining, ReplaceableMembers replaceable, int maximumVoters,
		DomainSpread spread) {

	/** Returns the learner from the failure domain with the fewest voters. */
	Optional<String> choose(List<String> caughtUp) {
		List<String> candidates = caughtUp.stream().filter(this.joining::contains).filter(this::hasPlace).toList();
		Comparator<String> fewestVoters = Comparator.comparing((id) -> this.spread.domainOf(id).isEmpty());
		fewestVoters = fewestVoters.thenComparingInt(this::votersThatStayBeside);
		Optional<String> withinBound = candidates.stream().filter(this::staysWithinBound).min(fewestVoters);
		return (withinBound.isEmpty() && mustExceedBound()) ? candidates.stream().min(fewestVoters) : withinBound;
	}

	private boolean hasPlace(String id) {
		return this.current.voters().size() < this.maximumVoters || hasReplaceableVoter() || replacesVoter(id)
				|| (this.spread.domainOf(id).isPresent() && this.spread.surplusVoter(this.current).isPresent());
	}

	private boolean hasReplaceableVoter() {
		return this.current.voters().stream().anyMatch(this.replaceable::isReplaceable);
	}

	private boolean replacesVoter(String id) {
		return this.current.voters()
			.stream()
			.anyMatch((voter) -> MemberChange.nameOf(voter).equals(MemberChange.nameOf(id)));
	}

	/** An unknown failure domain has no bound, and a successor changes no number. */
	private boolean staysWithinBound(String id) {
		return this.spread.domainOf(id).isEmpty() || replacesVoter(id)
				|| votersThatStayBeside(id) < this.spread.maximumPerDomain();
	}

	/**
	 * Returns the voters in the failure domain of a learner, without the one that leaves
	 * for it.
	 */
	private int votersThatStayBeside(String id) {
		boolean oneLeaves = this.current.voters().size() >= this.maximumVoters && this.current.voters()
			.stream()
			.anyMatch((voter) -> this.replaceable.isReplaceable(voter) && this.spread.sharesDomain(voter, id));
		return this.spread.votersBeside(this.current, id) - (oneLeaves ? 1 : 0);
	}

	/**
	 * Returns whether a retirement would wait forever: a voter retires and no replica
	 * that asks to join could take its place within the bound.
	 */
	private boolean mustExceedBound() {
		return this.current.voters().stream().anyMatch(this.replaceable::isRetiring) && this.joining.stream()
			.filter((id) -> !this.current.voters().contains(id) && !this.replaceable.isRetiring(id))
			.noneMatch(this::staysWithinBound);
	}

}
