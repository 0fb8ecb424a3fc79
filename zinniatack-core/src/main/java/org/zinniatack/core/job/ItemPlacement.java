package org.zinniatack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Strategy that chooses the target of an item. A group counts only once its last item is
 * done, and the longest items of a step take nearly all of its time, so the speed of a
 * target matters more than its utilization. Items with the same prompt are placed
 * together while there is room.
 */
public interface ItemPlacement {

	/**
	 * Chooses a target.
	 * @param candidates the targets that may run the item now
	 * @return the target, or empty if there are no candidates
	 */
	Optional<Candidate> choose(Collection<Candidate> candidates);

	/**
	 * Returns a strategy that weighs event latency, utilization and shared prompts.
	 * @return the placement
	 */
	static ItemPlacement latencyAware() {
		return LatencyAwarePlacement::choose;
	}

	/**
	 * Returns a strategy that weighs utilization alone, as a baseline for others.
	 * @return the placement
	 */
	static ItemPlacement leastLoaded() {
		return (candidates) -> candidates.stream()
			.min(Comparator.comparingDouble(Candidate::utilization).thenComparing(Candidate::id));
	}

	/**
	 * A target that may run an item.
	 *
	 * @param id the id of the target
	 * @param utilization the load relative to the slots, 1 for a full target
	 * @param eventMs the mean time per output event, in milliseconds, 0 if unknown
	 * @param samePrompt true if the target runs items with the same prompt
	 */
	record Candidate(String id, double utilization, double eventMs, boolean samePrompt) {
	}

}
