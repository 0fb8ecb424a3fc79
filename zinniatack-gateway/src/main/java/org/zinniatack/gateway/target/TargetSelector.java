package org.zinniatack.gateway.target;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.speed.PoolSpeed;
import org.zinniatack.core.speed.SpeedEstimate;

/**
 * Selects targets of a pool by their utilization, and those that state how long work
 * takes also by the expected time to an answer. All methods but {@link #statingCount()}
 * must be called on one thread.
 */
public final class TargetSelector {

	/** Another failure domain is chosen if the own one is fuller by a third. */
	private static final double REMOTE_DOMAIN_COST = 0.34;

	private static final int USABLE_RANK = 0;

	private static final int LIMITED_RANK = 1;

	private static final int AVOIDED_RANK = 2;

	private final Function<String, List<TargetNotice>> readyByPool;

	private final String failureDomain;

	/**
	 * At most one slot of most targets, so it decides only between similarly full ones.
	 */
	private static final double NEW_CONNECTION_COST = 0.15;

	/**
	 * Cost, in units of utilization, of a time to the answer that is longer by the median
	 * of the pool. A quarter of the median, by which estimates of equal targets differ,
	 * weighs as much as all slots.
	 */
	private static final double SLOWNESS_COST = 4;

	private final Predicate<String> hasIdleConnection;

	private final TargetObserver observer;

	private final TargetPaces paces;

	private final SendPermits permits;

	private final Map<String, TargetStats> statsById = new ConcurrentHashMap<>();

	/**
	 * Returns a selector without statistics.
	 * @param readyByPool returns the targets of a pool that accept requests
	 * @param failureDomain the failure domain of this process
	 * @param hasIdleConnection returns for an address whether an idle connection to it
	 * exists
	 * @param observer accepts what answers tell about targets
	 */
	public TargetSelector(Function<String, List<TargetNotice>> readyByPool, String failureDomain,
			Predicate<String> hasIdleConnection, TargetObserver observer) {
		this(readyByPool, failureDomain, hasIdleConnection, observer, TargetPaces.off(), SendPermits.unlimited());
	}

	/**
	 * Returns a selector without statistics.
	 * @param readyByPool returns the targets of a pool that accept requests
	 * @param failureDomain the failure domain of this process
	 * @param hasIdleConnection returns for an address whether an idle connection to it
	 * exists
	 * @param observer accepts what answers tell about targets
	 * @param paces limits the targets that have just started or recovered
	 * @param permits the permits for targets that are or may become cold
	 */
	public TargetSelector(Function<String, List<TargetNotice>> readyByPool, String failureDomain,
			Predicate<String> hasIdleConnection, TargetObserver observer, TargetPaces paces, SendPermits permits) {
		this.readyByPool = readyByPool;
		this.failureDomain = failureDomain;
		this.hasIdleConnection = hasIdleConnection;
		this.observer = observer;
		this.paces = paces;
		this.permits = permits;
		paces.addPaced((target) -> stats(target.id()).statesWorkTime());
	}

	/**
	 * Returns the pace of each target.
	 * @return the paces, which accept what answers tell
	 */
	public TargetPaces paces() {
		return this.paces;
	}

	/**
	 * Returns the permits for targets that are or may become cold.
	 * @return the permits
	 */
	public SendPermits permits() {
		return this.permits;
	}

	/**
	 * Returns whether a target may get one more request: its limit is not reached, and
	 * there is a permit if it needs one.
	 * @param target the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false if it must be excluded like a full target
	 */
	public boolean hasRoom(TargetNotice target, long nowMs) {
		return this.paces.hasRoom(target, stats(target.id()).outstandingCount(),
				this.permits.isAvailable(target, nowMs), nowMs);
	}

	/**
	 * Records that a target said in an answer that it is cold.
	 * @param target the notice of the target at the time of the request
	 * @param remainingMs how much longer it is cold, in milliseconds, 0 if it is not
	 */
	public void markCold(TargetNotice target, long remainingMs) {
		if (remainingMs > 0) {
			this.observer.onCold(target, remainingMs);
		}
	}

	/**
	 * Records that the connection of a request was lost, or its answer was malformed.
	 * @param target the notice of the target at the time of the request
	 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void markLost(TargetNotice target, long sentAtMs, long nowMs) {
		stats(target.id()).recordUnreachable(nowMs);
		this.paces.onLoss(target, sentAtMs, nowMs);
		this.observer.onLost(target);
	}

	/**
	 * Returns the statistics of a target.
	 * @param targetId the id of the target
	 * @return its statistics, empty ones for an unknown target
	 */
	public TargetStats stats(String targetId) {
		return this.statsById.computeIfAbsent(targetId, (absent) -> new TargetStats());
	}

	/**
	 * Records that a target announced in an answer that it is leaving. It gets no new
	 * requests until it restarts, whatever it announces meanwhile.
	 * @param target the notice of the target at the time of the request
	 */
	public void markLeaving(TargetNotice target) {
		this.observer.onLeaving(target);
	}

	/**
	 * Records that another target answered at the address of a target, which is avoided
	 * for a while and loses its address to another that announces the same.
	 * @param target the notice of the target at the time of the request
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void markAbsent(TargetNotice target, long nowMs) {
		stats(target.id()).recordUnreachable(nowMs);
		this.observer.onAbsent(target);
	}

	/**
	 * Sets the number of long items that each target is generating.
	 * @param countsById the number of long items by target id; absent targets have none
	 */
	public void setLongItemCounts(Map<String, Integer> countsById) {
		this.statsById.forEach((id, stats) -> stats.setLongItemCount(countsById.getOrDefault(id, 0)));
	}

	/**
	 * Returns the targets of a pool that accept requests.
	 * @param pool the pool
	 * @return their notices
	 */
	public List<TargetNotice> ready(String pool) {
		return this.readyByPool.apply(pool);
	}

	/**
	 * Returns whether a target has announced another software version since a request was
	 * sent to it, so that the request may have run under either.
	 * @param asSentTo the notice of the target at the time of the request
	 * @return true if its version is another now
	 */
	public boolean hasAnnouncedOtherSoftware(TargetNotice asSentTo) {
		return ready(asSentTo.pool()).stream()
			.anyMatch((target) -> target.id().equals(asSentTo.id())
					&& !target.softwareVersion().equals(asSentTo.softwareVersion()));
	}

	/**
	 * Chooses the least utilized target and prefers those of the own failure domain and
	 * those that answer sooner, as far as they state how long work takes. Targets at
	 * their limit are chosen only if there is no other, and those that are being avoided
	 * only if there is neither. A permit is taken for the target, which must get a
	 * request at once.
	 * @param pool the pool
	 * @param excludedIds the ids of targets that must not be chosen
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the target, or empty if there is none that has a permit
	 */
	public Optional<TargetNotice> choose(String pool, Set<String> excludedIds, long nowMs) {
		List<TargetNotice> ready = this.readyByPool.apply(pool);
		double medianMs = medianMs(ready, TargetStats::answerSpeed);
		List<Ranked> candidates = ready.stream()
			.filter((notice) -> !excludedIds.contains(notice.id()))
			.map((notice) -> new Ranked(notice, rank(notice, nowMs), cost(notice, medianMs, nowMs)))
			.sorted(Comparator.comparingInt(Ranked::rank)
				.thenComparingDouble(Ranked::cost)
				.thenComparing((ranked) -> ranked.notice().id()))
			.toList();
		if (candidates.stream().anyMatch((candidate) -> candidate.rank() == LIMITED_RANK)) {
			this.paces.countHeldBack();
		}
		return firstWithPermit(candidates, nowMs);
	}

	/**
	 * Takes the first permit, and asks for one for the first better target for which that
	 * may help. It asks only once, since many targets may be cold at the same time.
	 */
	private Optional<TargetNotice> firstWithPermit(List<Ranked> candidates, long nowMs) {
		boolean requested = false;
		for (Ranked candidate : candidates) {
			if (this.permits.take(candidate.notice(), nowMs)) {
				return Optional.of(candidate.notice());
			}
			requested = requested || this.permits.request(candidate.notice(), nowMs);
		}
		return Optional.empty();
	}

	private int rank(TargetNotice notice, long nowMs) {
		TargetStats stats = stats(notice.id());
		if (!stats.isUsable(nowMs)) {
			return AVOIDED_RANK;
		}
		return this.paces.hasRoom(notice, stats.outstandingCount(), true, nowMs) ? USABLE_RANK : LIMITED_RANK;
	}

	/**
	 * Returns the median of the usual times of the targets that state how long work
	 * takes.
	 * @param targets the targets of a pool
	 * @param speed returns the estimate of the kind of work
	 * @return the time in milliseconds, 0 if there are no measurements of such targets
	 */
	public double medianMs(List<TargetNotice> targets, Function<TargetStats, SpeedEstimate> speed) {
		return PoolSpeed.medianMs(targets.stream()
			.map((target) -> stats(target.id()))
			.filter(TargetStats::statesWorkTime)
			.map(speed)
			.toList());
	}

	/**
	 * Returns the number of known targets that state how long work takes. It may be
	 * called on any thread.
	 * @return the number of targets
	 */
	public long statingCount() {
		return this.statsById.values().stream().filter(TargetStats::statesWorkTime).count();
	}

	private double cost(TargetNotice notice, double medianMs, long nowMs) {
		double domainCost = notice.failureDomain().equals(this.failureDomain) ? 0 : REMOTE_DOMAIN_COST;
		return utilization(notice, nowMs) + domainCost + slownessCost(notice, medianMs, nowMs);
	}

	private double slownessCost(TargetNotice notice, double medianMs, long nowMs) {
		TargetStats stats = stats(notice.id());
		if (!stats.statesWorkTime()) {
			return 0;
		}
		double queueFactor = stats.queueFactor(notice.slotCount(), nowMs);
		return SLOWNESS_COST * (PoolSpeed.relativeTime(stats.answerSpeed(), queueFactor, medianMs, nowMs) - 1);
	}

	/**
	 * Returns the utilization of a target, with its failures and the need for a new
	 * connection counted as load.
	 * @param notice the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the load relative to the slots, 1 for a full target
	 */
	public double utilization(TargetNotice notice, long nowMs) {
		double connectionCost = this.hasIdleConnection.test(notice.address()) ? 0 : NEW_CONNECTION_COST;
		return stats(notice.id()).utilization(notice, nowMs) + connectionCost;
	}

	/**
	 * A target with what it is chosen by.
	 *
	 * @param notice the target
	 * @param rank the lower, the earlier it is chosen
	 * @param cost its utilization with the costs of a request to it
	 */
	private record Ranked(TargetNotice notice, int rank, double cost) {
	}

}
