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
 * The load at the end of a training step: a few long items are left on targets whose pace
 * depends on how many they run, and is known from moving means that lag behind.
 */
class StepTailTests {

	private static final int TARGET_COUNT = 6;

	private static final int SLOT_COUNT = 16;

	private static final int ITEM_COUNT = 90;

	/** Most items are short; one in six makes a hundred events and more. */
	private static final int SHORT_EVENTS = 17;

	private static final int LONG_EVENTS = 150;

	private static final int LEAST_LONG_EVENTS = 100;

	private static final int SEED_COUNT = 5;

	private static final double EXPECTED_EVENTS = 20;

	/** What an event takes on an empty target, and what each running item adds. */
	private static final double EMPTY_EVENT_MS = 42;

	private static final double ADDED_EVENT_MS = 2.5;

	/** What a move takes: a connection, and the prompt and the output read again. */
	private static final double MOVE_MS = 60;

	/** How long the other items of a target wait while it reads the prompt of one. */
	private static final double READ_PROMPT_MS = 8;

	private static final double PACE_WEIGHT = 0.1;

	private static final int LEAST_EVENTS_TO_MOVE = 3;

	private static final int TICK_MS = 50;

	/** Steps overlap: the next begins when most of one is done. */
	private static final int NEXT_STEP_MS = 3_000;

	private static final int STEP_COUNT = 8;

	private static final long LONG_AGO_MS = -10_000;

	private final Random random = new Random(11);

	private final double[] paceMs = new double[TARGET_COUNT];

	private final long[] movedAtMs = new long[TARGET_COUNT];

	private final List<Item> items = new ArrayList<>();

	/** How much slower the first target is than the others. */
	private double firstFactor = 1;

	private int running(int target) {
		return (int) this.items.stream().filter((item) -> item.target == target).count();
	}

	private double eventMs(int target) {
		double factor = (target == 0) ? this.firstFactor : 1;
		double noise = 0.6 + 0.8 * this.random.nextDouble();
		return factor * noise * (EMPTY_EVENT_MS + ADDED_EVENT_MS * running(target));
	}

	/** Fills the free slots; the prompts that are read hold up what runs already. */
	private void beginStep(int nowMs) {
		for (int number = 0; number < ITEM_COUNT; number++) {
			int target = number % TARGET_COUNT;
			if (running(target) < SLOT_COUNT) {
				this.items.stream()
					.filter((other) -> other.target == target)
					.forEach((other) -> other.nextEventMs += READ_PROMPT_MS);
				int events = (this.random.nextInt(6) == 0)
						? LEAST_LONG_EVENTS + this.random.nextInt(LONG_EVENTS - LEAST_LONG_EVENTS)
						: 1 + this.random.nextInt(2 * SHORT_EVENTS);
				this.items.add(new Item(target, events, nowMs));
			}
		}
	}

	/** Plays steps in a row over several seeds. */
	private Outcome play(boolean remembers) {
		Outcome sum = new Outcome(0, 0, 0);
		for (int seed = 0; seed < SEED_COUNT; seed++) {
			this.random.setSeed(seed);
			sum = playSteps(remembers, sum);
		}
		return sum;
	}

	private Outcome playSteps(boolean remembers, Outcome before) {
		beginStep(0);
		for (int target = 0; target < TARGET_COUNT; target++) {
			this.paceMs[target] = eventMs(target);
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
					outcome = outcome.withEnd(item);
				}
			}
			for (Item item : this.items) {
				outcome = item.moveIfWorth(tickEndMs, remembers) ? outcome.withMove() : outcome;
			}
		}
		return outcome;
	}

	/** The pattern: targets of one make, which look unequal from moment to moment. */
	@Test
	void itemsOnTargetsOfOneMakeStayWhereTheyAre() {
		Outcome withoutMemory = play(false);
		Outcome withMemory = play(true);
		assertThat(2 * withMemory.moves(), lessThan(withoutMemory.moves()));
		assertThat(withMemory.longItemMs(), lessThanOrEqualTo(withoutMemory.longItemMs()));
	}

	/** The pattern: one of the targets turns four times slower for the whole time. */
	@Test
	void itemsLeaveATargetThatTurnedSlowAsSoonAsWithoutMemory() {
		this.firstFactor = 4;
		Outcome withoutMemory = play(false);
		Outcome withMemory = play(true);
		assertThat(withMemory.moves(), lessThan(withoutMemory.moves()));
		assertThat(withMemory.longItemMs(), lessThanOrEqualTo(withoutMemory.longItemMs() + MOVE_MS));
	}

	/**
	 * How the steps went.
	 *
	 * @param moves the moves of all items
	 * @param longItems the number of long items
	 * @param longItemsMs the time that they took together, in milliseconds
	 */
	private record Outcome(int moves, int longItems, double longItemsMs) {

		Outcome withMove() {
			return new Outcome(this.moves + 1, this.longItems, this.longItemsMs);
		}

		Outcome withEnd(Item item) {
			boolean isLong = item.events >= LEAST_LONG_EVENTS;
			return isLong
					? new Outcome(this.moves, this.longItems + 1, this.longItemsMs + item.nextEventMs - item.beganAtMs)
					: this;
		}

		double longItemMs() {
			return this.longItemsMs / this.longItems;
		}

	}

	/** An item of the step. */
	private final class Item {

		private int target;

		private final int events;

		private final int beganAtMs;

		private int done;

		private int doneHere;

		private int moves;

		private double nextEventMs;

		Item(int target, int events, int nowMs) {
			this.target = target;
			this.events = events;
			this.beganAtMs = nowMs;
			this.nextEventMs = nowMs;
		}

		void run(int untilMs) {
			while (this.nextEventMs <= untilMs && this.done < this.events) {
				double tookMs = eventMs(this.target);
				this.nextEventMs += tookMs;
				this.done++;
				this.doneHere++;
				double[] pace = StepTailTests.this.paceMs;
				pace[this.target] = pace[this.target] * (1 - PACE_WEIGHT) + tookMs * PACE_WEIGHT;
			}
		}

		boolean moveIfWorth(int nowMs, boolean remembers) {
			if (this.doneHere < LEAST_EVENTS_TO_MOVE) {
				return false;
			}
			RunningItem known = new RunningItem(this.done, EXPECTED_EVENTS, remembers ? this.moves : 0);
			Optional<Candidate> fastest = ItemPlacement.latencyAware().choose(free());
			int to = fastest.map((candidate) -> Integer.parseInt(candidate.id())).orElse(this.target);
			if (to == this.target
					|| !MovePolicy.isWorthMoving(known, place(this.target, remembers), place(to, remembers), nowMs)) {
				return false;
			}
			StepTailTests.this.movedAtMs[this.target] = nowMs;
			StepTailTests.this.movedAtMs[to] = nowMs;
			StepTailTests.this.items.stream()
				.filter((other) -> other.target == to)
				.forEach((other) -> other.nextEventMs += READ_PROMPT_MS);
			this.target = to;
			this.moves++;
			this.doneHere = 0;
			this.nextEventMs = nowMs + MOVE_MS;
			return true;
		}

		private TargetSpeed place(int target, boolean remembers) {
			return new TargetSpeed(StepTailTests.this.paceMs[target],
					remembers ? StepTailTests.this.movedAtMs[target] : LONG_AGO_MS);
		}

		private List<Candidate> free() {
			List<Candidate> free = new ArrayList<>();
			for (int other = 0; other < TARGET_COUNT; other++) {
				int load = running(other);
				if (load < SLOT_COUNT) {
					free.add(new Candidate(String.valueOf(other), load / (double) SLOT_COUNT,
							StepTailTests.this.paceMs[other], false));
				}
			}
			free.sort(Comparator.comparing(Candidate::id));
			return free;
		}

	}

}
