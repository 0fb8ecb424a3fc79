package org.zinniatack.core.weight;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.admission.TokenBucket;

/**
 * Rolls a weight version through the targets of one pool: only some load at the same
 * time, so that the others go on serving, loads begin no faster than the weight store
 * bears, and a target that fails too often is given up.
 */
public final class Rollout {

	private static final int ATTEMPTS = 3;

	private final double servingShare;

	private final long attemptTimeoutMs;

	private final Map<String, Long> startedMs = new HashMap<>();

	private final Map<String, Integer> failures = new HashMap<>();

	private long version;

	private double loadsPerS;

	private @Nullable TokenBucket loads;

	/**
	 * Returns a rollout that has not begun.
	 * @param servingShare the share of the targets that must not be loading, from 0 to 1
	 * @param attemptTimeoutMs the time after which a load is tried again, in milliseconds
	 */
	public Rollout(double servingShare, long attemptTimeoutMs) {
		this.servingShare = servingShare;
		this.attemptTimeoutMs = attemptTimeoutMs;
	}

	/**
	 * Returns the targets that should load now, those that already do among them.
	 * @param newestVersion the version to load
	 * @param targets the targets of the pool
	 * @param permittedLoadsPerS the loads that may begin in a second, 0 for no limit
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the ids of the targets
	 */
	public Set<String> targetsToLoad(long newestVersion, Collection<Target> targets, double permittedLoadsPerS,
			long nowMs) {
		if (newestVersion != this.version) {
			this.version = newestVersion;
			this.startedMs.clear();
			this.failures.clear();
		}
		List<String> behind = targets.stream()
			.filter((target) -> target.weightVersion() < newestVersion)
			.map(Target::targetId)
			.toList();
		this.startedMs.keySet().retainAll(behind);
		this.failures.keySet().retainAll(behind);
		behind.forEach((id) -> expire(id, nowMs));
		int allowed = Math.max(1, (int) Math.floor(targets.size() * (1 - this.servingShare)));
		behind.stream()
			.filter((id) -> !hasFailed(id) && !this.startedMs.containsKey(id))
			.sorted(Comparator.comparing(this::failuresOf).reversed().thenComparing(Comparator.naturalOrder()))
			.limit(Math.max(0, allowed - this.startedMs.size()))
			.takeWhile((id) -> mayLoad(permittedLoadsPerS, nowMs))
			.forEach((id) -> this.startedMs.put(id, nowMs));
		return Set.copyOf(this.startedMs.keySet());
	}

	/**
	 * Returns the targets that did not load the version in any attempt and should leave.
	 * @return the ids of the targets
	 */
	public Set<String> failedTargets() {
		return this.failures.keySet().stream().filter(this::hasFailed).collect(Collectors.toUnmodifiableSet());
	}

	private int failuresOf(String targetId) {
		return this.failures.getOrDefault(targetId, 0);
	}

	private boolean hasFailed(String targetId) {
		return failuresOf(targetId) >= ATTEMPTS;
	}

	private void expire(String targetId, long nowMs) {
		Long began = this.startedMs.get(targetId);
		if (began != null && nowMs - began >= this.attemptTimeoutMs) {
			this.startedMs.remove(targetId);
			this.failures.merge(targetId, 1, Integer::sum);
		}
	}

	private boolean mayLoad(double permittedLoadsPerS, long nowMs) {
		if (permittedLoadsPerS <= 0) {
			return true;
		}
		TokenBucket limit = this.loads;
		if (limit == null || this.loadsPerS != permittedLoadsPerS) {
			limit = new TokenBucket(permittedLoadsPerS, Math.max(1, permittedLoadsPerS), nowMs);
			this.loads = limit;
			this.loadsPerS = permittedLoadsPerS;
		}
		return limit.tryTake(1, nowMs) == 0;
	}

	/**
	 * A target and the version that its engine reports.
	 *
	 * @param targetId the id of the target
	 * @param weightVersion the version
	 */
	public record Target(String targetId, long weightVersion) {
	}

}
