package org.zinniatack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.zinniatack.core.job.ItemPlacement.Candidate;

/**
 * Chooses the target with the lowest cost, a weighted sum of its latency relative to the
 * fastest candidate, its utilization and a bonus for sharing a prompt.
 */
final class LatencyAwarePlacement {

	/** Cost, in units of utilization, of a target twice as slow as the fastest. */
	private static final double SLOWNESS_COST = 2;

	/**
	 * Attracts items to a target with the same prompt unless its utilization is higher by
	 * more than half or it is slower by a third. Processing a prompt takes less time than
	 * one event.
	 */
	private static final double SAME_PROMPT_COST = -0.55;

	private LatencyAwarePlacement() {
	}

	static Optional<Candidate> choose(Collection<Candidate> candidates) {
		double fastestMs = candidates.stream()
			.mapToDouble(Candidate::eventMs)
			.filter((eventMs) -> eventMs > 0)
			.min()
			.orElse(0);
		return candidates.stream()
			.min(Comparator.<Candidate>comparingDouble((candidate) -> cost(candidate, fastestMs))
				.thenComparing(Candidate::id));
	}

	private static double cost(Candidate candidate, double fastestMs) {
		double slownessCost = (candidate.eventMs() > 0) ? SLOWNESS_COST * (candidate.eventMs() / fastestMs - 1) : 0;
		return candidate.utilization() + candidate.lengthFactor() * slownessCost
				+ (candidate.samePrompt() ? SAME_PROMPT_COST : 0);
	}

}
