package org.zinniatack.core.weight;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rolls a weight version through the targets of one pool: only some load at the same
 * time, so that the others go on serving, and a target that fails too often is given up.
 */
public final class Rollout {

	private static final int ATTEMPTS = 3;

	private final double servingShare;

	private final long attemptTimeoutMs;

	private final Map<String, Attempt> attempts = new HashMap<>();

	private final Set<String> failed = new HashSet<>();

	private long version;

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
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the ids of the targets
	 */
	public Set<String> loading(long newestVersion, Collection<Holder> targets, long nowMs) {
		if (newestVersion != this.version) {
			this.version = newestVersion;
			this.attempts.clear();
			this.failed.clear();
		}
		List<Holder> behind = targets.stream()
			.filter((target) -> target.weightVersion() < newestVersion && !this.failed.contains(target.targetId()))
			.sorted(Comparator.comparing(Holder::targetId))
			.toList();
		this.attempts.keySet().retainAll(behind.stream().map(Holder::targetId).toList());
		behind.forEach((target) -> expire(target.targetId(), nowMs));
		int allowed = Math.max(1, (int) Math.floor(targets.size() * (1 - this.servingShare)));
		behind.stream()
			.map(Holder::targetId)
			.filter((id) -> !this.failed.contains(id) && !this.attempts.containsKey(id))
			.limit(Math.max(0, allowed - this.attempts.size()))
			.forEach((id) -> this.attempts.put(id, new Attempt(1, nowMs)));
		return Set.copyOf(this.attempts.keySet());
	}

	/**
	 * Returns the targets that did not load the version in any attempt and should leave.
	 * @return the ids of the targets
	 */
	public Set<String> failed() {
		return Set.copyOf(this.failed);
	}

	private void expire(String targetId, long nowMs) {
		Attempt attempt = this.attempts.get(targetId);
		if (attempt == null || nowMs - attempt.startedMs() < this.attemptTimeoutMs) {
			return;
		}
		if (attempt.count() >= ATTEMPTS) {
			this.attempts.remove(targetId);
			this.failed.add(targetId);
		}
		else {
			this.attempts.put(targetId, new Attempt(attempt.count() + 1, nowMs));
		}
	}

	/**
	 * A target and the version that its engine reports.
	 *
	 * @param targetId the id of the target
	 * @param weightVersion the version
	 */
	public record Holder(String targetId, long weightVersion) {
	}

	private record Attempt(int count, long startedMs) {
	}

}
