package org.zinniatack.control;

import java.util.Map;
import java.util.function.Supplier;

import org.zinniatack.core.membership.DomainSpread;

/**
 * The bounds on the voters, in total and in a failure domain.
 *
 * @param maximumVoters the largest number of voters
 * @param maximumPerDomain the largest number of voters in a failure domain
 * @param domainsByName returns the known failure domains of members by name; it must not
 * block
 */
record VoterLimits(int maximumVoters, int maximumPerDomain, Supplier<Map<String, String>> domainsByName) {

	/** Returns limits without a bound for a failure domain. */
	static VoterLimits of(int maximumVoters) {
		return new VoterLimits(maximumVoters, Integer.MAX_VALUE, Map::of);
	}

	/**
	 * Returns the present spread of the voters.
	 * @param leaderId the id of the leader
	 */
	DomainSpread spread(String leaderId) {
		return (this.maximumPerDomain == Integer.MAX_VALUE) ? DomainSpread.unbounded()
				: new DomainSpread(this.domainsByName.get(), this.maximumPerDomain, leaderId);
	}

}
