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
	 * Returns a router that scans all targets and chooses the least loaded one.
	 * @param <C> the type of a target
	 * @return the router
	 */
	static <C extends Candidate> Router<C> leastLoaded() {
		return new LeastLoadedRouter<>();
	}

	/**
	 * Returns a router that sends requests with equal customer and prefix to the same
	 * target unless its load is too high. A choice takes a binary search over the targets
	 * and a constant number of further steps while a target of the sample is available.
	 * @param <C> the type of a target
	 * @param homeFailureDomain the failure domain to prefer at equal load
	 * @param random the source of randomness
	 * @return the router
	 */
	static <C extends Candidate> Router<C> prefixAffinity(String homeFailureDomain, RandomGenerator random) {
		return prefixAffinity(homeFailureDomain, random, PrefixAffinityRouter.DEFAULT_LOAD_SLACK);
	}

	/**
	 * Returns a router with prefix affinity whose load slack trades prefix cache hits for
	 * balance.
	 * @param <C> the type of a target
	 * @param homeFailureDomain the failure domain to prefer at equal load
	 * @param random the source of randomness
	 * @param loadSlack the largest difference in load between the target of a prefix and
	 * the least loaded target of a random sample, as a fraction of its slots
	 * @return the router
	 */
	static <C extends Candidate> Router<C> prefixAffinity(String homeFailureDomain, RandomGenerator random,
			double loadSlack) {
		return new PrefixAffinityRouter<>(homeFailureDomain, random, loadSlack);
	}

	/**
	 * Replaces the targets to choose from.
	 * @param targets all targets of the pool
	 */
	void updateTargets(List<C> targets);

	/**
	 * Chooses an available target.
	 * @param prefixHash the hash of customer and prompt prefix, 0 for none
	 * @return the target, or empty if no target is available
	 */
	Optional<C> choose(long prefixHash);

}
