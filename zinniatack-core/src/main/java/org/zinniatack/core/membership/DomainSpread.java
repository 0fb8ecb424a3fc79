package org.zinniatack.core.membership;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

import org.zinniatack.core.consensus.Membership;

/**
 * Bounds the number of voters in a failure domain, so that the others remain a quorum if
 * it is lost. Members whose failure domain is unknown count for none.
 *
 * @param domainsByName the failure domains of members by name
 * @param maximumPerDomain the largest number of voters in a failure domain
 * @param leaderId the id of the leader, which stays a voter
 */
public record DomainSpread(Map<String, String> domainsByName, int maximumPerDomain, String leaderId) {

	private static final DomainSpread UNBOUNDED = new DomainSpread(Map.of(), Integer.MAX_VALUE, "");

	/**
	 * Copies the failure domains.
	 */
	public DomainSpread {
		domainsByName = Map.copyOf(domainsByName);
	}

	/**
	 * Returns the value for a system that need not bear the loss of a failure domain.
	 * @return no bound
	 */
	public static DomainSpread unbounded() {
		return UNBOUNDED;
	}

	Optional<String> domainOf(String id) {
		return Optional.ofNullable(this.domainsByName.get(MemberChange.nameOf(id)));
	}

	boolean sharesDomain(String id, String other) {
		return domainOf(id).isPresent() && domainOf(id).equals(domainOf(other));
	}

	/** Returns the number of voters in the failure domain of a member, 0 if unknown. */
	int votersBeside(Membership current, String id) {
		return (int) current.voters().stream().filter((voter) -> sharesDomain(voter, id)).count();
	}

	boolean isAboveBound(Membership current, String id) {
		return votersBeside(current, id) > this.maximumPerDomain;
	}

	/**
	 * Returns the voter that a domain above the bound gives up, of the fullest domain.
	 */
	Optional<String> surplusVoter(Membership current) {
		return current.voters()
			.stream()
			.filter((id) -> !id.equals(this.leaderId) && isAboveBound(current, id))
			.max(Comparator.comparingInt((id) -> votersBeside(current, id)));
	}

}
