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
	 * @param lengthFactor how much the speed of the target matters for the item, 1 for a
	 * short item
	 */
	record Candidate(String id, double utilization, double eventMs, boolean samePrompt, double lengthFactor) {

		/**
		 * An item of this length goes to a slow target only if it is much emptier. In
		 * simulated steps, groups completed later with 10 or 20 events.
		 */
		private static final double SHORT_ITEM_EVENTS = 5;

		/** An item of one event goes to a target half as fast that is emptier by half. */
		private static final double MINIMUM_LENGTH_FACTOR = 0.25;

		/** From here on, the speed outweighs anything else. */
		private static final double MAXIMUM_LENGTH_FACTOR = 8;

		/**
		 * Creates a candidate for an item whose length does not matter.
		 * @param id the id of the target
		 * @param utilization the load relative to the slots, 1 for a full target
		 * @param eventMs the mean time per output event, in milliseconds, 0 if unknown
		 * @param samePrompt true if the target runs items with the same prompt
		 */
		public Candidate(String id, double utilization, double eventMs, boolean samePrompt) {
			this(id, utilization, eventMs, samePrompt, 1);
		}

		/**
		 * Returns the candidate for an item whose length matters: a long one goes to
		 * where it ends soonest, and leaves the slow targets to short ones.
		 * @param remainingEvents the expected number of events to come, 0 if unknown
		 * @param expectedEventMs the expected time per output event of the item, in
		 * milliseconds, 0 if unknown
		 * @return the candidate
		 */
		public Candidate forItem(double remainingEvents, double expectedEventMs) {
			double factor = (remainingEvents > 0) ? Math.max(MINIMUM_LENGTH_FACTOR,
					Math.min(MAXIMUM_LENGTH_FACTOR, remainingEvents / SHORT_ITEM_EVENTS)) : 1;
			return new Candidate(this.id, this.utilization, expectedEventMs, this.samePrompt, factor);
		}

	}

}
