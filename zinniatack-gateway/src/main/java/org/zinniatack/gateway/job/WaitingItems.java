package org.zinniatack.gateway.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.ItemLengthEstimator;
import org.zinniatack.core.job.ItemOrder;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteIndex;

/**
 * The items that wait for a target, in the order of {@link ItemOrder#byLatestStart()}.
 * They stand in one lane for each job, pool and software version that they need, so that
 * a round looks only at the first items of lanes whose targets have room.
 */
final class WaitingItems {

	/** Limits the time of a round after a takeover or a new routing table. */
	static final int MAXIMUM_SORTED_PER_ROUND = 5_000;

	/** Limits the time of a round after which the estimates of many items differ. */
	static final int MAXIMUM_MOVED_PER_ROUND = 2_500;

	/** Limits the time of a round in which many items can be sent or given up. */
	static final int MAXIMUM_TAKEN_PER_ROUND = 250;

	/** After a start, a process knows the targets within this time. */
	static final long TARGETS_HEARD_MS = 2_000;

	private static final Comparator<Head> HEAD_ORDER = Comparator.comparing(Head::item, ItemOrder.byLatestStart());

	private final ItemLengthEstimator lengths;

	private final Map<LaneKey, WaitingLane> lanes = new LinkedHashMap<>();

	/** Items that are not in a lane yet. */
	private final Deque<ItemRun> unsorted = new ArrayDeque<>();

	private final PriorityQueue<PausedItem> paused = new PriorityQueue<>(Comparator.comparingLong(PausedItem::untilMs));

	private RouteIndex routes;

	WaitingItems(ItemLengthEstimator lengths, RouteIndex routes) {
		this.lengths = lengths;
		this.routes = routes;
	}

	/** Replaces the routes, so that the pools of all items are chosen again. */
	void updateRoutes(RouteIndex newest) {
		this.routes = newest;
		this.lanes.values().forEach((lane) -> lane.forEach(this.unsorted::add));
		this.lanes.clear();
	}

	/** Adds an item in the waiting phase, which is offered after its pause. */
	void add(ItemRun run) {
		if (run.notBeforeMs > 0) {
			this.paused.add(new PausedItem(run, run.notBeforeMs));
		}
		else {
			this.unsorted.add(run);
		}
	}

	/** Forgets the items of a job, which must have left the waiting phase. */
	void removeJob(JobId job) {
		this.lanes.keySet().removeIf((key) -> key.job().equals(job));
	}

	void clear() {
		this.lanes.clear();
		this.unsorted.clear();
		this.paused.clear();
	}

	/**
	 * Offers the items in their order, until no target has room for more.
	 * @param nowMs the monotonic time, in milliseconds
	 * @param taker takes the items that can be started
	 * @return true if the round reached one of its limits, so that another should follow
	 * at once
	 */
	boolean offer(long nowMs, Taker taker) {
		sort(nowMs);
		restartStranded(nowMs, taker);
		List<WaitingLane> open = openLanes(taker);
		int moved = update(open);
		PriorityQueue<Head> heads = new PriorityQueue<>(HEAD_ORDER);
		open.forEach((lane) -> lane.head().ifPresent(heads::add));
		Set<Requirement> unmet = new HashSet<>();
		int taken = 0;
		while (!heads.isEmpty() && taken < MAXIMUM_TAKEN_PER_ROUND) {
			Head head = heads.poll();
			WaitingLane lane = head.lane();
			if (unmet.contains(lane.requirement()) && waitsForTarget(lane, taker)) {
				continue;
			}
			lane.remove(head.run());
			if (head.run().phase == ItemRun.Phase.WAITING) {
				if (!taker.take(head.run(), lane.route(), lane.requirement().pool())) {
					lane.add(head.run());
					unmet.add(lane.requirement());
					continue;
				}
				taken++;
			}
			lane.head().ifPresent(heads::add);
		}
		this.lanes.values().removeIf(WaitingLane::isEmpty);
		return !this.unsorted.isEmpty() || moved == MAXIMUM_MOVED_PER_ROUND || taken == MAXIMUM_TAKEN_PER_ROUND;
	}

	/**
	 * Restarts the items that only targets of another software version can generate: none
	 * of their own is left, or it has had no room for as long as their events took.
	 */
	private void restartStranded(long nowMs, Taker taker) {
		for (WaitingLane lane : this.lanes.values()) {
			Requirement requirement = lane.requirement();
			if (requirement.softwareVersion() != null) {
				Requirement other = requirement.ofAnySoftwareVersion();
				boolean served = taker.isServed(requirement);
				if (!served && taker.isServed(other)) {
					restart(lane, (run) -> run.isOpenFor(TARGETS_HEARD_MS, nowMs), taker, served);
				}
				else if (served && !taker.hasRoom(requirement) && taker.hasRoom(other)) {
					restart(lane, (run) -> run.hasWaitedAsLongAsGenerated(nowMs), taker, served);
				}
			}
		}
	}

	private void restart(WaitingLane lane, Predicate<ItemRun> stranded, Taker taker, boolean served) {
		List<ItemRun> runs = new ArrayList<>();
		lane.forEach((run) -> {
			if (stranded.test(run)) {
				runs.add(run);
			}
		});
		for (ItemRun run : runs) {
			lane.remove(run);
			taker.restart(run, served);
			this.unsorted.add(run);
		}
	}

	private static int update(List<WaitingLane> open) {
		int moved = 0;
		for (WaitingLane lane : open) {
			moved += lane.update(MAXIMUM_MOVED_PER_ROUND - moved);
		}
		return moved;
	}

	/** Returns the lanes of which items can be taken. */
	private List<WaitingLane> openLanes(Taker taker) {
		List<WaitingLane> open = new ArrayList<>();
		Map<Requirement, Boolean> rooms = new HashMap<>();
		for (WaitingLane lane : this.lanes.values()) {
			if (!waitsForTarget(lane, taker) || rooms.computeIfAbsent(lane.requirement(), taker::hasRoom)) {
				open.add(lane);
			}
		}
		return open;
	}

	private static boolean waitsForTarget(WaitingLane lane, Taker taker) {
		return lane.needsTarget() && !taker.isExpired(lane.job());
	}

	private void sort(long nowMs) {
		for (PausedItem first = this.paused.peek(); first != null
				&& first.untilMs() <= nowMs; first = this.paused.peek()) {
			this.paused.remove();
			this.unsorted.add(first.run());
		}
		for (int count = 0; count < MAXIMUM_SORTED_PER_ROUND && !this.unsorted.isEmpty(); count++) {
			ItemRun run = this.unsorted.remove();
			if (run.phase == ItemRun.Phase.WAITING && run.notBeforeMs <= nowMs) {
				laneOf(run).add(run);
			}
		}
	}

	private WaitingLane laneOf(ItemRun run) {
		Optional<Route> route = this.routes.routeOf(run.job.host(), run.item.path());
		String pool = route.map((found) -> found.selectPool((run.item.id().hashCode() & 0xffff) / (double) 0x10000))
			.orElse("");
		boolean needsTarget = route.isPresent() && !run.restoredComplete;
		String softwareVersion = needsTarget ? run.text.requiredSoftwareVersion() : null;
		LaneKey key = new LaneKey(run.job.id(), route.map(Route::pathPrefix).orElse(""), pool, softwareVersion,
				run.restoredComplete);
		return this.lanes.computeIfAbsent(key,
				(absent) -> new WaitingLane(run.job, route,
						new Requirement(pool, run.job.model(), run.job.oldestVersion(), softwareVersion), needsTarget,
						this.lengths));
	}

	/** Takes items that can be started. */
	interface Taker {

		/** Returns whether the items of a job may be given up. */
		boolean isExpired(JobSubmission job);

		/** Returns whether a target has room for items with a requirement. */
		boolean hasRoom(Requirement requirement);

		/**
		 * Returns whether there is a target of the pool and the software version of a
		 * requirement, with or without room.
		 */
		boolean isServed(Requirement requirement);

		/**
		 * Discards the output of an item that cannot be continued.
		 * @param run the item
		 * @param served true if only room is missing
		 */
		void restart(ItemRun run, boolean served);

		/**
		 * Takes an item out of the waiting phase.
		 * @param run the item
		 * @param route its route, or empty if there is none any more
		 * @param pool the pool of its targets
		 * @return false if no target has room for items with its requirement
		 */
		boolean take(ItemRun run, Optional<Route> route, String pool);

	}

	/**
	 * What a target must meet to run an item.
	 *
	 * @param pool the pool of the target
	 * @param model the model
	 * @param oldestVersion the oldest weight version of the model
	 * @param softwareVersion the software version of the target, or null if any will do
	 */
	record Requirement(String pool, String model, long oldestVersion, @Nullable String softwareVersion) {

		Requirement ofAnySoftwareVersion() {
			return new Requirement(this.pool, this.model, this.oldestVersion, null);
		}

		boolean isMetBySoftwareOf(TargetNotice target) {
			return this.softwareVersion == null || this.softwareVersion.equals(target.softwareVersion());
		}

	}

	/**
	 * The first item of a lane.
	 *
	 * @param lane the lane
	 * @param run the item
	 * @param item the item as it is ordered
	 */
	record Head(WaitingLane lane, ItemRun run, ItemOrder.WaitingItem item) {
	}

	private record LaneKey(JobId job, String pathPrefix, String pool, @Nullable String softwareVersion,
			boolean restoredComplete) {
	}

	private record PausedItem(ItemRun run, long untilMs) {
	}

}
