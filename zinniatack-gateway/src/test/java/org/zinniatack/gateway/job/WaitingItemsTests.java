package org.zinniatack.gateway.job;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.ItemLengthEstimator;
import org.zinniatack.core.job.ItemOrder;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.PartialText;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteIndex;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.core.table.RoutingTable;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of the order in which waiting items are offered and of the time of a round.
 */
class WaitingItemsTests {

	/** The interval of rounds, which the event loop must not exceed. */
	private static final long LIMIT_MS = 50;

	private static final long DEADLINE_MS = 10_000;

	private static final int TARGETS = 8;

	private static final int SLOTS = 8;

	private final Random random = new Random(44);

	private final ItemLengthEstimator lengths = new ItemLengthEstimator();

	private final WaitingItems waiting = new WaitingItems(this.lengths, routes(1, "pool"));

	private final List<ItemRun> runs = new ArrayList<>();

	private static RouteIndex routes(long number, String pool) {
		Route route = new Route("r", "host", "/", RouteKind.values()[0], false, false, 1, 1, 1, 1,
				List.of(new PoolShare(pool, 1)), 1, 1, false);
		return new RouteIndex(
				new RoutingTable(number, List.of(route), Map.of(), List.of(), new CallerLimits(0, 0, 0, 0)));
	}

	/** Adds a job of which some items have a hint and some have some output. */
	private void addJob(int number, int itemCount) {
		List<JobItem> items = new ArrayList<>();
		for (int item = 0; item < itemCount; item++) {
			int hint = (item % 4 == 0) ? 0 : 1 + this.random.nextInt(200);
			items.add(new JobItem("item-" + item, "group-" + item / 8, "/", Map.of(), new byte[0], "", hint, null));
		}
		JobSubmission job = new JobSubmission(new JobId("customer", "job-" + number), "host", "model", 1, number,
				DEADLINE_MS, 40_000, items);
		for (int item = 0; item < itemCount; item++) {
			ItemRun run = new ItemRun(job, items.get(item), item, new EventText((line) -> OptionalLong.empty()), 0);
			if (item % 16 == 5) {
				run.restore(new OpenJob.StoredOutput(new PartialText(List.of("a", "b"), List.of(1L), 1), false, true));
			}
			this.runs.add(run);
			this.waiting.add(run);
		}
	}

	private ItemOrder.WaitingItem ordered(ItemRun run) {
		long dueAtMs = run.job.submittedAtMs() + DEADLINE_MS;
		double expected = this.lengths.expectedEvents("model", run.item.expectedTokens());
		return new ItemOrder.WaitingItem(run.job.id().name(), dueAtMs,
				dueAtMs - Math.max(0, expected - run.text.eventCount()) * 50, run.groupPosition, run.position);
	}

	private List<ItemRun> firstInOrder(int count) {
		return this.runs.stream()
			.filter((run) -> run.phase == ItemRun.Phase.WAITING)
			.sorted(Comparator.comparing(this::ordered, ItemOrder.byLatestStart()))
			.limit(count)
			.toList();
	}

	private void sortAll() {
		for (int round = 0; round <= this.runs.size() / WaitingItems.MAXIMUM_SORTED_PER_ROUND; round++) {
			this.waiting.offer(1, new Slots(0));
		}
	}

	@Test
	void itemsAreTakenInTheOrderOfTheirLatestStartWhileEstimatesChange() {
		for (int number = 0; number < 20; number++) {
			addJob(number, 160);
		}
		for (int round = 0; round < 60; round++) {
			List<ItemRun> expected = firstInOrder(40);
			Slots slots = new Slots(40);
			this.waiting.offer(1, slots);
			assertThat("round " + round, slots.taken, is(expected));
			for (ItemRun run : slots.taken.subList(0, this.random.nextInt(40))) {
				this.lengths.recordLength("model", run.item.expectedTokens(), 1 + this.random.nextInt(300));
			}
		}
	}

	// Guards against rounds that sort everything that waits, so that the event loop of a
	// leader with many jobs does nothing else.
	@Test
	void aRoundWithFortyThousandWaitingItemsIsShorterThanTheIntervalOfRounds() {
		addJob(0, 160);
		this.waiting.offer(1, new Slots(SLOTS));
		for (int number = 1; number < 250; number++) {
			addJob(number, 160);
		}
		sortAll();
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		for (int round = 0; round < 40; round++) {
			this.lengths.recordLength("model", 100, 1 + this.random.nextInt(300));
			Slots slots = new Slots(TARGETS * SLOTS);
			long startedNs = threads.getCurrentThreadCpuTime();
			this.waiting.offer(1, slots);
			long durationMs = (threads.getCurrentThreadCpuTime() - startedNs) / 1_000_000;
			assertThat(slots.taken.size(), is(TARGETS * SLOTS));
			assertThat("round " + round, durationMs, lessThan(LIMIT_MS));
		}
	}

	@Test
	void pausedItemsAreOfferedAfterTheirPause() {
		addJob(1, 1);
		ItemRun run = this.runs.get(0);
		Slots slots = new Slots(10);
		this.waiting.offer(1, slots);
		run.phase = ItemRun.Phase.WAITING;
		run.notBeforeMs = 100;
		this.waiting.add(run);
		this.waiting.offer(99, slots);
		assertThat(slots.taken, is(List.of(run)));
		this.waiting.offer(100, slots);
		assertThat(slots.taken, is(List.of(run, run)));
	}

	@Test
	void itemsOfAJobThatIsOverAreNotOffered() {
		addJob(1, 10);
		this.waiting.offer(1, new Slots(0));
		this.runs.forEach((run) -> run.phase = ItemRun.Phase.FINISHED);
		this.waiting.removeJob(this.runs.get(0).job.id());
		Slots slots = new Slots(10);
		this.waiting.offer(1, slots);
		assertThat(slots.taken, is(empty()));
	}

	@Test
	void anItemOfferedAfterAChangeOfTheRoutesGetsItsNewPool() {
		addJob(1, 1);
		this.waiting.offer(1, new Slots(0));
		this.waiting.updateRoutes(routes(2, "other"));
		Slots slots = new Slots(1);
		this.waiting.offer(1, slots);
		assertThat(slots.countsByPool, is(Map.of("other", 1)));
	}

	// Guards against an output that is begun again although its software version will
	// have room, and against one that waits for a software version that has left.
	@Test
	void anItemThatHasBegunWaitsForItsSoftwareVersionAsLongAsItsEventsTookAndNotForOneThatHasLeft() {
		Slots served = new Slots(1, Set.of("v2"), Set.of("v1", "v2"));
		ItemRun begun = addBegunItem(1, "v1", 400);
		this.waiting.offer(1_400, served);
		assertThat(begun.text.eventCount(), is(2));
		this.waiting.offer(1_401, served);
		assertThat(begun.text.eventCount(), is(0));
		assertThat(served.taken, is(List.of()));
		this.waiting.offer(1_402, served);
		assertThat(served.taken, is(List.of(begun)));

		ItemRun left = addBegunItem(2, "v1", 400);
		Slots none = new Slots(1, Set.of(), Set.of());
		this.waiting.offer(WaitingItems.TARGETS_HEARD_MS, none);
		assertThat(left.text.eventCount(), is(2));
		Slots gone = new Slots(1, Set.of("v2"), Set.of("v2"));
		this.waiting.offer(WaitingItems.TARGETS_HEARD_MS - 1, gone);
		assertThat(left.text.eventCount(), is(2));
		this.waiting.offer(WaitingItems.TARGETS_HEARD_MS, gone);
		assertThat(left.text.eventCount(), is(0));
	}

	/** Adds an item with two events that a target has generated until 1,000 ms. */
	private ItemRun addBegunItem(int jobNumber, String softwareVersion, long generatedMs) {
		addJob(jobNumber, 1);
		ItemRun run = this.runs.get(this.runs.size() - 1);
		run.beginAttempt(1_000 - generatedMs);
		run.phase = ItemRun.Phase.GENERATING;
		run.text.beginStream(1, softwareVersion);
		run.text.read(Unpooled.copiedBuffer("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", StandardCharsets.US_ASCII));
		run.beginWaiting(1_000);
		run.phase = ItemRun.Phase.WAITING;
		return run;
	}

	/** Takes items until all slots are occupied. */
	private static final class Slots implements WaitingItems.Taker {

		private final int count;

		private final List<ItemRun> taken = new ArrayList<>();

		private final Map<String, Integer> countsByPool = new HashMap<>();

		/** The software versions of the targets with slots, and of all targets. */
		private final Set<String> withRoom;

		private final Set<String> known;

		Slots(int count) {
			this(count, Set.of(""), Set.of(""));
		}

		Slots(int count, Set<String> withRoom, Set<String> known) {
			this.count = count;
			this.withRoom = withRoom;
			this.known = known;
		}

		@Override
		public boolean isExpired(JobSubmission job) {
			return false;
		}

		@Override
		public boolean hasRoom(WaitingItems.Requirement requirement) {
			String version = requirement.softwareVersion();
			return this.taken.size() < this.count && (version == null || this.withRoom.contains(version));
		}

		@Override
		public boolean isServed(WaitingItems.Requirement requirement) {
			String version = requirement.softwareVersion();
			return (version != null) ? this.known.contains(version) : !this.known.isEmpty();
		}

		@Override
		public void restart(ItemRun run, boolean served) {
			run.restart();
		}

		@Override
		public boolean take(ItemRun run, Optional<Route> route, String pool) {
			if (!hasRoom(new WaitingItems.Requirement(pool, run.job.model(), 0, run.text.requiredSoftwareVersion()))) {
				return false;
			}
			run.phase = ItemRun.Phase.GENERATING;
			this.taken.add(run);
			this.countsByPool.merge(pool, 1, Integer::sum);
			return true;
		}

	}

}
