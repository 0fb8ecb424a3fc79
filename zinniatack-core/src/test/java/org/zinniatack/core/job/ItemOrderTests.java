package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.ItemOrder.WaitingItem;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ItemOrder} and {@link ItemLengthEstimator}.
 */
class ItemOrderTests {

	private static final int STEP_COUNT = 300;

	private static final int GROUP_COUNT = 9;

	private static final int GROUP_SIZE = 8;

	private static final int SLOT_COUNT = 30;

	private static final double EVENT_MS = 48;

	private static final long DEADLINE_MS = 7_500;

	private static final int TOKENS_PER_EVENT = 73;

	private static final int MAX_EVENTS = 153;

	@Test
	void theItemThatMustStartFirstIsFirst() {
		WaitingItem early = new WaitingItem("a", 7_500, 6_000, 0, 0);
		WaitingItem urgent = new WaitingItem("b", 9_000, 1_000, 8, 11);
		assertThat(ItemOrder.byLatestStart().compare(urgent, early) < 0, is(true));
		assertThat(ItemOrder.byGroup().compare(urgent, early) > 0, is(true));
	}

	@Test
	void itemsOfUnknownLengthKeepTheOrderOfTheirGroups() {
		WaitingItem first = new WaitingItem("a", 7_500, 7_500, 0, 3);
		WaitingItem second = new WaitingItem("a", 7_500, 7_500, 8, 8);
		assertThat(ItemOrder.byLatestStart().compare(first, second) < 0, is(true));
	}

	@Test
	void lengthsAreLearnedByModelAndBoundedByTheLongestSeen() {
		ItemLengthEstimator lengths = new ItemLengthEstimator();
		assertThat(lengths.expectedEvents("m", 700), is(0.0));
		lengths.recordLength("m", 1_000, 10);
		lengths.recordLength("m", 1_000, 10);
		assertThat(lengths.expectedEvents("m", 500), is(5.0));
		assertThat(lengths.expectedEvents("m", 50_000), is(10.0));
		assertThat(lengths.expectedEvents("m", 0), is(10.0));
		assertThat(lengths.expectedEvents("other", 500), is(0.0));
	}

	/**
	 * Guards against starting long items late, which delays their whole group. A step has
	 * more items than slots, one item in twelve is five times as long as the others, and
	 * hints are often far off.
	 */
	@Test
	void moreGroupsAreWholeInTimeThanWithTheOrderOfGroups() {
		double byLatestStart = shareOfGroupsInTime(ItemOrder.byLatestStart());
		double byGroup = shareOfGroupsInTime(ItemOrder.byGroup());
		assertThat(byLatestStart, greaterThan(byGroup));
	}

	private static double shareOfGroupsInTime(Comparator<WaitingItem> order) {
		Random random = new Random(11);
		ItemLengthEstimator lengths = new ItemLengthEstimator();
		int completeCount = 0;
		for (int step = 0; step < STEP_COUNT; step++) {
			completeCount += completeGroups(order, random, lengths);
		}
		return completeCount / (double) (STEP_COUNT * GROUP_COUNT);
	}

	private static int completeGroups(Comparator<WaitingItem> order, Random random, ItemLengthEstimator lengths) {
		List<WaitingItem> waiting = new ArrayList<>();
		int[] events = new int[GROUP_COUNT * GROUP_SIZE];
		long[] hints = new long[events.length];
		for (int position = 0; position < events.length; position++) {
			events[position] = drawEvents(random);
			hints[position] = (long) (events[position] * TOKENS_PER_EVENT * Math.exp(0.5 * random.nextGaussian()));
			double expectedMs = lengths.expectedEvents("m", hints[position]) * EVENT_MS;
			waiting.add(new WaitingItem("j", DEADLINE_MS, DEADLINE_MS - expectedMs, position - position % GROUP_SIZE,
					position));
		}
		waiting.sort(order);
		PriorityQueue<Double> freeAtMs = new PriorityQueue<>();
		for (int slot = 0; slot < SLOT_COUNT; slot++) {
			freeAtMs.add(0.0);
		}
		double[] groupDoneMs = new double[GROUP_COUNT];
		for (WaitingItem item : waiting) {
			double doneMs = freeAtMs.remove() + events[item.position()] * EVENT_MS;
			freeAtMs.add(doneMs);
			int group = item.position() / GROUP_SIZE;
			groupDoneMs[group] = Math.max(groupDoneMs[group], doneMs);
		}
		for (int position = 0; position < events.length; position++) {
			lengths.recordLength("m", hints[position], events[position]);
		}
		int completeCount = 0;
		for (double doneMs : groupDoneMs) {
			completeCount += (doneMs <= DEADLINE_MS) ? 1 : 0;
		}
		return completeCount;
	}

	private static int drawEvents(Random random) {
		double events = 12 * Math.exp(0.9 * random.nextGaussian()) * ((random.nextInt(12) == 0) ? 5 : 1);
		return (int) Math.max(1, Math.min(MAX_EVENTS, events));
	}

}
