package org.zinniatack.direct.target;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.zinniatack.core.directory.TargetNotice;

/**
 * Chooses among the targets of a pool. All methods must be called on one thread.
 */
public final class TargetSelector {

	/** A target elsewhere is chosen when those nearby are fuller by a third. */
	private static final double DISTANCE_PRESSURE = 0.34;

	private final Function<String, List<TargetNotice>> readyByPool;

	private final String failureDomain;

	/** Decides among targets that are about equally full; a slot of most is no less. */
	private static final double NEW_CONNECTION_PRESSURE = 0.15;

	private final Predicate<String> hasIdleConnection;

	private final Consumer<TargetNotice> onLeaving;

	private final Map<String, TargetStats> statsById = new HashMap<>();

	/**
	 * Returns a choice among targets.
	 * @param readyByPool returns the targets of a pool that take requests
	 * @param failureDomain the failure domain of this process
	 * @param hasIdleConnection tells by a target's address whether a request to it needs
	 * no new connection
	 * @param onLeaving takes the notice of a target that said in an answer that it leaves
	 */
	public TargetSelector(Function<String, List<TargetNotice>> readyByPool, String failureDomain,
			Predicate<String> hasIdleConnection, Consumer<TargetNotice> onLeaving) {
		this.readyByPool = readyByPool;
		this.failureDomain = failureDomain;
		this.hasIdleConnection = hasIdleConnection;
		this.onLeaving = onLeaving;
	}

	/**
	 * Returns what is known of a target.
	 * @param targetId the id of the target
	 * @return its figures, new ones if nothing is known
	 */
	public TargetStats stats(String targetId) {
		return this.statsById.computeIfAbsent(targetId, (absent) -> new TargetStats());
	}

	/**
	 * Notes that a target said in an answer that it leaves. From then on it gets nothing
	 * new, whatever it announces later of the same start.
	 * @param target the target, as it was known when the request was sent
	 */
	public void markLeaving(TargetNotice target) {
		this.onLeaving.accept(target);
	}

	/**
	 * Notes how many long items each target works on.
	 * @param countsById the number of long items by target, none for all others
	 */
	public void setLongItemCounts(Map<String, Integer> countsById) {
		this.statsById.forEach((id, stats) -> stats.setLongItemCount(countsById.getOrDefault(id, 0)));
	}

	/**
	 * Returns the targets of a pool that take requests.
	 * @param pool the pool
	 * @return their notices
	 */
	public List<TargetNotice> ready(String pool) {
		return this.readyByPool.apply(pool);
	}

	/**
	 * Chooses the target with the least pressure, near ones first. Targets that do not
	 * answer are chosen only if there is no other.
	 * @param pool the pool
	 * @param tried the ids of targets that must not be chosen
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the target, or empty if there is none
	 */
	public Optional<TargetNotice> choose(String pool, Set<String> tried, long nowMs) {
		return this.readyByPool.apply(pool)
			.stream()
			.filter((notice) -> !tried.contains(notice.id()))
			.min(Comparator.<TargetNotice, Boolean>comparing((notice) -> !stats(notice.id()).isUsable(nowMs))
				.thenComparingDouble((notice) -> cost(notice, nowMs))
				.thenComparing(TargetNotice::id));
	}

	private double cost(TargetNotice notice, long nowMs) {
		double distance = notice.failureDomain().equals(this.failureDomain) ? 0 : DISTANCE_PRESSURE;
		return utilization(notice, nowMs) + distance;
	}

	/**
	 * Returns how full a target is, with its failures and the need of a new connection
	 * counted as load.
	 * @param notice the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return its load against its slots, 1 for a full target
	 */
	public double utilization(TargetNotice notice, long nowMs) {
		double connection = this.hasIdleConnection.test(notice.address()) ? 0 : NEW_CONNECTION_PRESSURE;
		return stats(notice.id()).utilization(notice, nowMs) + connection;
	}

}
