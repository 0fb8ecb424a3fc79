package org.zinniatack.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a target for a request.
 *
 * @param <C> the type of a target
 */
public interface Router<C extends Candidate> {

	/**
	 * Returns a router that looks at every target and takes the least loaded one.
	 * @param <C> the type of a target
	 * @return the router
	 */
	static <C extends Candidate> Router<C> leastLoaded() {
		return new LeastLoadedRouter<>();
	}

	/**
	 * Returns a router that sends equal prefixes of a customer to the same targets unless
	 * they are too full, at a cost that does not grow with the number of targets but for
	 * a binary search.
	 * @param <C> the type of a target
	 * @param homeFailureDomain the failure domain to prefer at equal load
	 * @param random the source of choices
	 * @return the router
	 */
	static <C extends Candidate> Router<C> prefixAffinity(String homeFailureDomain, RandomGenerator random) {
		return prefixAffinity(homeFailureDomain, random, PrefixAffinityRouter.DEFAULT_LOAD_SLACK);
	}

	/**
	 * Returns a router that trades prefix hits for balance.
	 * @param <C> the type of a target
	 * @param homeFailureDomain the failure domain whose targets are preferred
	 * @param random where random samples come from
	 * @param loadSlack how much fuller than the least loaded of a sample a prefix's
	 * target may be, as a part of its slots
	 * @return the router
	 */
	static <C extends Candidate> Router<C> prefixAffinity(String homeFailureDomain, RandomGenerator random,
			double loadSlack) {
		return new PrefixAffinityRouter<>(homeFailureDomain, random, loadSlack);
	}

	/**
	 * Tells the router which targets there are.
	 * @param targets the targets of the pool
	 */
	void updateTargets(List<C> targets);

	/**
	 * Chooses an available target.
	 * @param prefixHash the hash of customer and prompt prefix, 0 for none
	 * @return the target, or empty if none was found available
	 */
	Optional<C> choose(long prefixHash);

}
