package org.zinniatack.gateway.job;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.NavigableSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.zinniatack.core.job.ItemLengthEstimator;
import org.zinniatack.core.job.ItemOrder;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.table.Route;

/**
 * The waiting items of one job with the same requirement. Estimates of length change with
 * each finished item, but the order of the items by their hints does not, except that
 * estimates are limited to the longest item seen. So only the items that cross this limit
 * are moved.
 */
final class WaitingLane {

	/** The usual time per event, where that of an item is not known. */
	static final double TYPICAL_EVENT_MS = 50;

	private static final Comparator<ItemRun> BY_POSITION = Comparator.comparingInt((ItemRun run) -> run.groupPosition)
		.thenComparingInt((run) -> run.position);

	private static final Comparator<ItemRun> BY_HINT = Comparator.comparingLong(WaitingLane::hint);

	private static final Comparator<WaitingItems.Head> HEAD_ORDER = Comparator.comparing(WaitingItems.Head::item,
			ItemOrder.byLatestStart());

	private final JobSubmission job;

	private final Optional<Route> route;

	private final WaitingItems.Requirement requirement;

	private final boolean needsTarget;

	private final ItemLengthEstimator lengths;

	/** Items with some output, which are few and in no lasting order. */
	private final Set<ItemRun> begun = new LinkedHashSet<>();

	private final NavigableSet<ItemRun> withoutHint = new TreeSet<>(BY_POSITION);

	/** The items whose estimate grows with their hint, longest first. */
	private final NavigableSet<ItemRun> hinted = new TreeSet<>(BY_HINT.reversed().thenComparing(BY_POSITION));

	/** The items with a hint that have the same estimate. */
	private final NavigableSet<ItemRun> limited = new TreeSet<>(BY_POSITION);

	/** The same items, shortest first. */
	private final NavigableSet<ItemRun> limitedByHint = new TreeSet<>(BY_HINT.thenComparing(BY_POSITION));

	WaitingLane(JobSubmission job, Optional<Route> route, WaitingItems.Requirement requirement, boolean needsTarget,
			ItemLengthEstimator lengths) {
		this.job = job;
		this.route = route;
		this.requirement = requirement;
		this.needsTarget = needsTarget;
		this.lengths = lengths;
	}

	private static long hint(ItemRun run) {
		return run.item.expectedTokens();
	}

	JobSubmission job() {
		return this.job;
	}

	Optional<Route> route() {
		return this.route;
	}

	WaitingItems.Requirement requirement() {
		return this.requirement;
	}

	/** Returns whether the items wait for a target rather than for their score or end. */
	boolean needsTarget() {
		return this.needsTarget;
	}

	boolean isEmpty() {
		return Stream.of(this.begun, this.withoutHint, this.hinted, this.limited).allMatch(Set::isEmpty);
	}

	void forEach(Consumer<ItemRun> consumer) {
		Stream.of(this.begun, this.withoutHint, this.hinted, this.limited).forEach((runs) -> runs.forEach(consumer));
	}

	void add(ItemRun run) {
		if (this.needsTarget && run.text.eventCount() > 0) {
			this.begun.add(run);
		}
		else if (hint(run) <= 0) {
			this.withoutHint.add(run);
		}
		else if (this.lengths.dependsOnHint(this.job.model(), hint(run))) {
			this.hinted.add(run);
		}
		else {
			this.limited.add(run);
			this.limitedByHint.add(run);
		}
	}

	void remove(ItemRun run) {
		this.begun.remove(run);
		this.withoutHint.remove(run);
		this.hinted.remove(run);
		this.limited.remove(run);
		this.limitedByHint.remove(run);
	}

	/** Returns the item that has to start first, or empty if there is none. */
	Optional<WaitingItems.Head> head() {
		Stream<ItemRun> firsts = Stream.of(this.withoutHint, this.hinted, this.limited)
			.flatMap((runs) -> runs.stream().limit(1));
		return Stream.concat(this.begun.stream(), firsts).map(this::head).min(HEAD_ORDER);
	}

	/**
	 * Orders the items by the newest estimates.
	 * @param maximumMoves the maximum number of items to move
	 * @return the number of items moved; if it is the maximum, some may be out of order
	 */
	int update(int maximumMoves) {
		int moves = 0;
		while (moves < maximumMoves && !this.hinted.isEmpty()
				&& !this.lengths.dependsOnHint(this.job.model(), hint(this.hinted.first()))) {
			ItemRun run = Objects.requireNonNull(this.hinted.pollFirst());
			this.limited.add(run);
			this.limitedByHint.add(run);
			moves++;
		}
		while (moves < maximumMoves && !this.limitedByHint.isEmpty()
				&& this.lengths.dependsOnHint(this.job.model(), hint(this.limitedByHint.first()))) {
			ItemRun run = Objects.requireNonNull(this.limitedByHint.pollFirst());
			this.limited.remove(run);
			this.hinted.add(run);
			moves++;
		}
		return moves;
	}

	private WaitingItems.Head head(ItemRun run) {
		long dueAtMs = this.job.submittedAtMs() + this.job.deadlineMs();
		double expectedEvents = this.lengths.expectedEvents(this.job.model(), hint(run));
		double remainingEvents = Math.max(0, expectedEvents - run.text.eventCount());
		return new WaitingItems.Head(this, run, new ItemOrder.WaitingItem(this.job.id().name(), dueAtMs,
				dueAtMs - remainingEvents * TYPICAL_EVENT_MS, run.groupPosition, run.position));
	}

}
