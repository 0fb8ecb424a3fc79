package org.zinniatack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.zinniatack.core.job.ItemPlacement.Candidate;

/**
 * Prefers fast targets, then those with the same prompt, then empty ones.
 */
final class LatencyAwarePlacement {

	/** How much a target that is twice as slow as the fastest looks fuller. */
	private static final double SLOWNESS_PRESSURE = 2;

	/**
	 * A target with the same prompt is chosen while it is not fuller by half, but not one
	 * that is slower by a third: reading a prompt takes less than an event.
	 */
	private static final double SAME_PROMPT_PRESSURE = -0.55;

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
		double slowness = (candidate.eventMs() > 0) ? SLOWNESS_PRESSURE * (candidate.eventMs() / fastestMs - 1) : 0;
		return candidate.utilization() + slowness + (candidate.samePrompt() ? SAME_PROMPT_PRESSURE : 0);
	}

}
