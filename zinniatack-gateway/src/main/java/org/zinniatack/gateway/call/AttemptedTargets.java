package org.zinniatack.gateway.call;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.gateway.target.TargetSelector;
import org.zinniatack.gateway.target.TargetStats;

/**
 * The targets that a call was sent to, and the choice of the next one.
 */
final class AttemptedTargets {

	private final Set<String> triedIds = new LinkedHashSet<>();

	private final Set<String> notRunIds = new HashSet<>();

	private static final Predicate<TargetNotice> ANY = (target) -> true;

	private Predicate<TargetNotice> allowed = ANY;

	/** Allows only some targets until a software version is required. */
	void allowOnly(Predicate<TargetNotice> predicate) {
		this.allowed = predicate;
	}

	/** Allows only targets of a software version from now on. */
	void requireSoftwareVersion(String required) {
		this.allowed = (target) -> required.equals(target.softwareVersion());
	}

	void add(String targetId) {
		this.triedIds.add(targetId);
		this.notRunIds.remove(targetId);
	}

	/** Records that a target stated that it did not run the call. */
	void recordNotRun(String targetId) {
		this.notRunIds.add(targetId);
	}

	/** Chooses a target that the call was not sent to, even one that refuses calls. */
	Optional<TargetNotice> chooseUntried(TargetSelector targets, String pool, long nowMs) {
		if (this.allowed == ANY) {
			return targets.choose(pool, this.triedIds, nowMs);
		}
		Set<String> excludedIds = new HashSet<>(this.triedIds);
		targets.ready(pool).stream().filter(this.allowed.negate()).map(TargetNotice::id).forEach(excludedIds::add);
		return targets.choose(pool, excludedIds, nowMs);
	}

	/**
	 * Chooses a target for a call that can wait. Targets that refuse calls are excluded,
	 * except for the one that has just ended a call. A target that did not run this call
	 * may get it again.
	 * @param targets the statistics and costs of targets
	 * @param pool the pool
	 * @param freedId the target that has just ended a call, or null
	 * @param onlyCertain true to exclude targets that may be full, while at least half of
	 * the pool refuses calls
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the target, or empty if there is none
	 */
	Optional<TargetNotice> chooseWithRoom(TargetSelector targets, String pool, @Nullable String freedId,
			boolean onlyCertain, long nowMs) {
		Set<String> excludedIds = new HashSet<>(this.triedIds);
		List<TargetNotice> ready = targets.ready(pool);
		long refusingCount = ready.stream().filter((target) -> targets.stats(target.id()).isRefusing(nowMs)).count();
		boolean excludeUnsure = onlyCertain && 2 * refusingCount >= ready.size();
		for (TargetNotice target : ready) {
			String id = target.id();
			TargetStats stats = targets.stats(id);
			boolean freed = id.equals(freedId);
			if (this.notRunIds.contains(id) && (freed || stats.isUsable(nowMs))) {
				excludedIds.remove(id);
			}
			if (!this.allowed.test(target)) {
				excludedIds.add(id);
			}
			if (!freed && (stats.isRefusing(nowMs) || (excludeUnsure && !stats.reportsRoom(target, nowMs)))) {
				excludedIds.add(id);
			}
		}
		return targets.choose(pool, excludedIds, nowMs);
	}

	/** Returns whether a target stated that it did not run the call. */
	boolean isRefused() {
		return !this.notRunIds.isEmpty();
	}

	@Override
	public String toString() {
		return this.triedIds.toString();
	}

}
