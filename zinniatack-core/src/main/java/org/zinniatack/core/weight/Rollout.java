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
 * Rolls a weight version out to the targets of one pool. Only some targets load at the
 * same time, so that the others continue serving. The rate at which loads start is
 * limited to what the weight store can sustain. A target that fails too often is given
 * up.
 */
public final class Rollout {

	private static final int MAX_ATTEMPTS = 3;

	private final double servingShare;

	private final long attemptTimeoutMs;

	private final Map<String, Long> startedMs = new HashMap<>();

	private final Map<String, Integer> failures = new HashMap<>();

	private long version;

	private double loadsPerS;

	private @Nullable TokenBucket loadLimit;

	/**
	 * Creates a rollout that has not started.
	 * @param servingShare the share of the targets that must not be loading, from 0 to 1
	 * @param attemptTimeoutMs the time after which a load counts as failed and may be
	 * retried, in milliseconds
	 */
	public Rollout(double servingShare, long attemptTimeoutMs) {
		this.servingShare = servingShare;
		this.attemptTimeoutMs = attemptTimeoutMs;
	}

	/**
	 * Returns the targets that should be loading now, including those that already are.
	 * @param newestVersion the version to load
	 * @param targets the targets of the pool
	 * @param permittedLoadsPerS the number of loads that may start per second, 0 for no
	 * limit
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
		List<String> outdated = targets.stream()
			.filter((target) -> target.weightVersion() < newestVersion)
			.map(Target::targetId)
			.toList();
		this.startedMs.keySet().retainAll(outdated);
		this.failures.keySet().retainAll(outdated);
		outdated.forEach((id) -> expireAttempt(id, nowMs));
		int maxLoading = Math.max(1, (int) Math.floor(targets.size() * (1 - this.servingShare)));
		outdated.stream()
			.filter((id) -> !hasFailed(id) && !this.startedMs.containsKey(id))
			.sorted(Comparator.comparing(this::failuresOf).reversed().thenComparing(Comparator.naturalOrder()))
			.limit(Math.max(0, maxLoading - this.startedMs.size()))
			.takeWhile((id) -> mayStartLoad(permittedLoadsPerS, nowMs))
			.forEach((id) -> this.startedMs.put(id, nowMs));
		return Set.copyOf(this.startedMs.keySet());
	}

	/**
	 * Returns the targets that failed to load the version in all attempts and should
	 * leave the pool.
	 * @return the ids of the targets
	 */
	public Set<String> failedTargets() {
		return this.failures.keySet().stream().filter(this::hasFailed).collect(Collectors.toUnmodifiableSet());
	}

	private int failuresOf(String targetId) {
		return this.failures.getOrDefault(targetId, 0);
	}

	private boolean hasFailed(String targetId) {
		return failuresOf(targetId) >= MAX_ATTEMPTS;
	}

	private void expireAttempt(String targetId, long nowMs) {
		Long attemptStartMs = this.startedMs.get(targetId);
		if (attemptStartMs != null && nowMs - attemptStartMs >= this.attemptTimeoutMs) {
			this.startedMs.remove(targetId);
			this.failures.merge(targetId, 1, Integer::sum);
		}
	}

	private boolean mayStartLoad(double permittedLoadsPerS, long nowMs) {
		if (permittedLoadsPerS <= 0) {
			return true;
		}
		TokenBucket limit = this.loadLimit;
		if (limit == null || this.loadsPerS != permittedLoadsPerS) {
			limit = new TokenBucket(permittedLoadsPerS, Math.max(1, permittedLoadsPerS), nowMs);
			this.loadLimit = limit;
			this.loadsPerS = permittedLoadsPerS;
		}
		return limit.tryTake(1, nowMs) == 0;
	}

	/**
	 * A target and the weight version that its engine reports.
	 *
	 * @param targetId the id of the target
	 * @param weightVersion the weight version
	 */
	public record Target(String targetId, long weightVersion) {
	}

}
