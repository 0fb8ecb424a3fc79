package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.ItemPlacement.Candidate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link ItemPlacement}, one of them under the load of training steps.
 */
class ItemPlacementTests {

	private static final int STEP_COUNT = 200;

	private static final int GROUP_COUNT = 4;

	private static final int GROUP_SIZE = 16;

	private static final int SLOT_COUNT = 6;

	/** A third of the targets is slower, as engines of different age are. */
	private static final double[] EVENT_MS = { 48, 48, 62, 48, 48, 62, 48, 48, 62, 48, 48, 62, 48, 48, 62 };

	private static final double DUE_MS = 7_500;

	/** The share of its groups that a trainer waits for. */
	private static final double WANTED_SHARE = 0.9;

	@Test
	void theFastestOfTwoEmptyTargetsIsChosen() {
		List<Candidate> candidates = List.of(new Candidate("a", 0, 62, false), new Candidate("b", 0, 48, false));
		assertThat(ItemPlacement.latencyAware().choose(candidates).orElseThrow().id(), is("b"));
		assertThat(ItemPlacement.leastLoaded().choose(candidates).orElseThrow().id(), is("a"));
	}

	@Test
	void itemsWithTheSamePromptGoTogetherOnTargetsOfOnePace() {
		List<Candidate> candidates = List.of(new Candidate("a", 0, 48, false), new Candidate("b", 0.5, 48, true));
		assertThat(ItemPlacement.latencyAware().choose(candidates).orElseThrow().id(), is("b"));
	}

	@Test
	void withoutTargetsNothingIsChosen() {
		assertThat(ItemPlacement.latencyAware().choose(List.of()), is(Optional.empty()));
	}

	/**
	 * The pattern: steps of few groups whose lengths have a long tail, so that one item
	 * decides when its group is whole, on targets of two speeds that have room.
	 */
	@Test
	void moreGroupsAreWholeInTimeThanWithTheLeastLoadedTarget() {
		double paced = shareInTime(ItemPlacement.latencyAware());
		double leastLoaded = shareInTime(ItemPlacement.leastLoaded());
		assertThat(leastLoaded, lessThan(paced));
		assertThat(paced, greaterThanOrEqualTo(WANTED_SHARE));
	}

	private static double shareInTime(ItemPlacement placement) {
		Random random = new Random(7);
		int whole = 0;
		for (int step = 0; step < STEP_COUNT; step++) {
			int[] running = new int[EVENT_MS.length];
			for (int group = 0; group < GROUP_COUNT; group++) {
				double lastMs = 0;
				for (int item = 0; item < GROUP_SIZE; item++) {
					int target = Integer.parseInt(placement.choose(candidates(running)).orElseThrow().id());
					running[target]++;
					lastMs = Math.max(lastMs, events(random) * EVENT_MS[target]);
				}
				whole += (lastMs <= DUE_MS) ? 1 : 0;
			}
		}
		return whole / (double) (STEP_COUNT * GROUP_COUNT);
	}

	private static List<Candidate> candidates(int[] running) {
		List<Candidate> candidates = new ArrayList<>();
		for (int target = 0; target < EVENT_MS.length; target++) {
			if (running[target] < SLOT_COUNT) {
				candidates.add(new Candidate(String.valueOf(target), running[target] / (double) SLOT_COUNT,
						EVENT_MS[target], false));
			}
		}
		return candidates;
	}

	/**
	 * Draws the length of an item: a mean of 22 events, one in twelve five times that.
	 */
	private static int events(Random random) {
		int events = 1 + (int) (22 * -Math.log(1 - random.nextDouble()) * ((random.nextInt(12) == 0) ? 5 : 0.6));
		return Math.min(156, events);
	}

}
