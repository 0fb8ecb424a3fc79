package org.zinniatack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the target of an item. A group counts only once its last item is done, and the
 * longest items of a step take nearly all of its time, so a target's pace matters more
 * than how full it is; items with the same prompt go together while there is room.
 */
public interface ItemPlacement {

	/**
	 * Chooses a target.
	 * @param candidates the targets that may run the item now
	 * @return the target, or empty if there is none
	 */
	Optional<Candidate> choose(Collection<Candidate> candidates);

	/**
	 * Returns the choice by pace, fullness and prompts.
	 * @return the placement
	 */
	static ItemPlacement latencyAware() {
		return LatencyAwarePlacement::choose;
	}

	/**
	 * Returns the choice by fullness alone, which others are measured against.
	 * @return the placement
	 */
	static ItemPlacement leastLoaded() {
		return (candidates) -> candidates.stream()
			.min(Comparator.comparingDouble(Candidate::utilization).thenComparing(Candidate::id));
	}

	/**
	 * A target that may run an item.
	 *
	 * @param id the id
	 * @param utilization its load against its slots, 1 for a full target
	 * @param eventMs the time that it takes for an event in milliseconds, 0 if unknown
	 * @param samePrompt true if it runs items with the same prompt
	 */
	record Candidate(String id, double utilization, double eventMs, boolean samePrompt) {
	}

}
