package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.ItemPlacement.Candidate;
import org.zinniatack.core.job.MovePolicy.RunningItem;
import org.zinniatack.core.job.MovePolicy.TargetSpeed;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Simulates the end of a training step. A few long items remain on targets whose speed
 * depends on the number of items that they run and is known only from moving averages,
 * which lag behind.
 */
class StepTailTests {

	private static final int TARGET_COUNT = 6;

	private static final int SLOT_COUNT = 16;

	private static final int ITEM_COUNT = 90;

	/** Most items are short; one in six has at least a hundred events. */
	private static final int MEAN_SHORT_EVENTS = 17;

	private static final int MAX_LONG_EVENTS = 150;

	private static final int MIN_LONG_EVENTS = 100;

	private static final int SEED_COUNT = 5;

	private static final double EXPECTED_EVENTS = 20;

	/** Time per event on an empty target, and the time that each running item adds. */
	private static final double EMPTY_EVENT_MS = 42;

	private static final double ADDED_EVENT_MS = 2.5;

	/** Cost of a move: a new connection, and reprocessing the prompt and the output. */
	private static final double MOVE_MS = 60;

	/** Delay of the other items of a target while it processes the prompt of one. */
	private static final double PROMPT_DELAY_MS = 8;

	private static final double NEWEST_EVENT_WEIGHT = 0.1;

	private static final int MIN_EVENTS_BEFORE_MOVE = 3;

	private static final int TICK_MS = 50;

	/** Steps overlap: the next starts when most of the previous one is done. */
	private static final int NEXT_STEP_MS = 3_000;

	private static final int STEP_COUNT = 8;

	private static final long LONG_AGO_MS = -10_000;

	private final Random random = new Random(11);

	private final double[] meanEventMs = new double[TARGET_COUNT];

	private final long[] movedAtMs = new long[TARGET_COUNT];

	private final List<Item> items = new ArrayList<>();

	/** Time per event of the first target relative to the others. */
	private double firstTargetFactor = 1;

	private int running(int target) {
		return (int) this.items.stream().filter((item) -> item.target == target).count();
	}

	private double eventMs(int target) {
		double factor = (target == 0) ? this.firstTargetFactor : 1;
		double noise = 0.6 + 0.8 * this.random.nextDouble();
		return factor * noise * (EMPTY_EVENT_MS + ADDED_EVENT_MS * running(target));
	}

	/** Fills the free slots; processing the new prompts delays the running items. */
	private void beginStep(int nowMs) {
		for (int number = 0; number < ITEM_COUNT; number++) {
			int target = number % TARGET_COUNT;
			if (running(target) < SLOT_COUNT) {
				this.items.stream()
					.filter((other) -> other.target == target)
					.forEach((other) -> other.nextEventMs += PROMPT_DELAY_MS);
				int events = (this.random.nextInt(6) == 0)
						? MIN_LONG_EVENTS + this.random.nextInt(MAX_LONG_EVENTS - MIN_LONG_EVENTS)
						: 1 + this.random.nextInt(2 * MEAN_SHORT_EVENTS);
				this.items.add(new Item(target, events, nowMs));
			}
		}
	}

	/** Simulates a sequence of steps with several seeds. */
	private Outcome simulate(boolean useHistory) {
		Outcome sum = new Outcome(0, 0, 0);
		for (int seed = 0; seed < SEED_COUNT; seed++) {
			this.random.setSeed(seed);
			sum = simulateSteps(useHistory, sum);
		}
		return sum;
	}

	private Outcome simulateSteps(boolean useHistory, Outcome before) {
		beginStep(0);
		for (int target = 0; target < TARGET_COUNT; target++) {
			this.meanEventMs[target] = eventMs(target);
			this.movedAtMs[target] = LONG_AGO_MS;
		}
		Outcome outcome = before;
		for (int nowMs = 0; !this.items.isEmpty(); nowMs += TICK_MS) {
			int tickEndMs = nowMs + TICK_MS;
			if (tickEndMs % NEXT_STEP_MS == 0 && tickEndMs < STEP_COUNT * NEXT_STEP_MS) {
				beginStep(nowMs);
			}
			for (Item item : List.copyOf(this.items)) {
				item.run(tickEndMs);
				if (item.done >= item.events) {
					this.items.remove(item);
					outcome = outcome.withFinished(item);
				}
			}
			for (Item item : this.items) {
				outcome = item.moveIfWorthwhile(tickEndMs, useHistory) ? outcome.withMove() : outcome;
			}
		}
		return outcome;
	}

	/**
	 * Guards against moves between equal targets, whose measured speeds differ from
	 * moment to moment.
	 */
	@Test
	void itemsOnTargetsOfOneMakeStayWhereTheyAre() {
		Outcome withoutHistory = simulate(false);
		Outcome withHistory = simulate(true);
		assertThat(2 * withHistory.moves(), lessThan(withoutHistory.moves()));
		assertThat(withHistory.longItemMs(), lessThanOrEqualTo(withoutHistory.longItemMs()));
	}

	/**
	 * Guards against items staying on a target that is four times slower all the time.
	 */
	@Test
	void itemsLeaveATargetThatTurnedSlowAsSoonAsWithoutMemory() {
		this.firstTargetFactor = 4;
		Outcome withoutHistory = simulate(false);
		Outcome withHistory = simulate(true);
		assertThat(withHistory.moves(), lessThan(withoutHistory.moves()));
		assertThat(withHistory.longItemMs(), lessThanOrEqualTo(withoutHistory.longItemMs() + MOVE_MS));
	}

	/**
	 * Totals over the simulated steps.
	 *
	 * @param moves the number of moves of all items
	 * @param longItems the number of long items
	 * @param longItemsMs the total time of the long items, in milliseconds
	 */
	private record Outcome(int moves, int longItems, double longItemsMs) {

		Outcome withMove() {
			return new Outcome(this.moves + 1, this.longItems, this.longItemsMs);
		}

		Outcome withFinished(Item item) {
			boolean isLong = item.events >= MIN_LONG_EVENTS;
			return isLong ? new Outcome(this.moves, this.longItems + 1,
					this.longItemsMs + item.nextEventMs - item.startedAtMs) : this;
		}

		double longItemMs() {
			return this.longItemsMs / this.longItems;
		}

	}

	/** An item of a simulated step. */
	private final class Item {

		private int target;

		private final int events;

		private final int startedAtMs;

		private int done;

		private int doneOnTarget;

		private int moves;

		private double nextEventMs;

		Item(int target, int events, int nowMs) {
			this.target = target;
			this.events = events;
			this.startedAtMs = nowMs;
			this.nextEventMs = nowMs;
		}

		void run(int untilMs) {
			while (this.nextEventMs <= untilMs && this.done < this.events) {
				double elapsedMs = eventMs(this.target);
				this.nextEventMs += elapsedMs;
				this.done++;
				this.doneOnTarget++;
				double[] means = StepTailTests.this.meanEventMs;
				means[this.target] = means[this.target] * (1 - NEWEST_EVENT_WEIGHT) + elapsedMs * NEWEST_EVENT_WEIGHT;
			}
		}

		boolean moveIfWorthwhile(int nowMs, boolean useHistory) {
			if (this.doneOnTarget < MIN_EVENTS_BEFORE_MOVE) {
				return false;
			}
			RunningItem runningItem = new RunningItem(this.done, EXPECTED_EVENTS, useHistory ? this.moves : 0);
			Optional<Candidate> fastest = ItemPlacement.latencyAware().choose(candidates());
			int to = fastest.map((candidate) -> Integer.parseInt(candidate.id())).orElse(this.target);
			if (to == this.target || !MovePolicy.isWorthMoving(runningItem, speed(this.target, useHistory),
					speed(to, useHistory), nowMs)) {
				return false;
			}
			StepTailTests.this.movedAtMs[this.target] = nowMs;
			StepTailTests.this.movedAtMs[to] = nowMs;
			StepTailTests.this.items.stream()
				.filter((other) -> other.target == to)
				.forEach((other) -> other.nextEventMs += PROMPT_DELAY_MS);
			this.target = to;
			this.moves++;
			this.doneOnTarget = 0;
			this.nextEventMs = nowMs + MOVE_MS;
			return true;
		}

		private TargetSpeed speed(int target, boolean useHistory) {
			return new TargetSpeed(StepTailTests.this.meanEventMs[target],
					useHistory ? StepTailTests.this.movedAtMs[target] : LONG_AGO_MS);
		}

		private List<Candidate> candidates() {
			List<Candidate> candidates = new ArrayList<>();
			for (int other = 0; other < TARGET_COUNT; other++) {
				int load = running(other);
				if (load < SLOT_COUNT) {
					candidates.add(new Candidate(String.valueOf(other), load / (double) SLOT_COUNT,
							StepTailTests.this.meanEventMs[other], false));
				}
			}
			candidates.sort(Comparator.comparing(Candidate::id));
			return candidates;
		}

	}

}
