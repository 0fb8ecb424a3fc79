package org.zinniatack.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the newest notice of each target. Notices may arrive late, repeatedly or out of
 * order. Until a target restarts, its state only advances from ready to draining to gone,
 * whatever arrives later.
 */
public final class TargetDirectory {

	private final Map<String, Entry> entries = new HashMap<>();

	private final long silenceLimitMs;

	private final long evictAfterMs;

	/**
	 * Creates an empty directory.
	 * @param silenceLimitMs the time without contact after which a target is not used, in
	 * milliseconds
	 * @param evictAfterMs the time without contact after which a target is removed, in
	 * milliseconds
	 */
	public TargetDirectory(long silenceLimitMs, long evictAfterMs) {
		this.silenceLimitMs = silenceLimitMs;
		this.evictAfterMs = evictAfterMs;
	}

	/**
	 * Merges a notice.
	 * @param notice the notice
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if a change must be forwarded to other processes
	 */
	public boolean merge(TargetNotice notice, long nowMs) {
		Entry known = this.entries.get(notice.id());
		if (known == null) {
			this.entries.put(notice.id(), new Entry(notice, nowMs));
			return true;
		}
		TargetNotice before = known.notice;
		boolean sameStart = notice.bornMs() == before.bornMs();
		if (!notice.isNewerThan(before)) {
			boolean advances = sameStart && notice.state().compareTo(before.state()) > 0;
			known.notice = advances ? before.withState(notice.state()) : before;
			return advances;
		}
		known.heardAtMs = nowMs;
		TargetNotice merged = (sameStart && before.state().compareTo(notice.state()) > 0)
				? notice.withState(before.state()) : notice;
		known.notice = merged;
		return !haveSameRelevantFields(before, merged);
	}

	private static boolean haveSameRelevantFields(TargetNotice one, TargetNotice other) {
		return one.bornMs() == other.bornMs() && one.state() == other.state() && one.pool().equals(other.pool())
				&& one.address().equals(other.address()) && one.weightVersions().equals(other.weightVersions());
	}

	/**
	 * Records that another process has heard from targets.
	 * @param ids the ids of the targets
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordHeard(Collection<String> ids, long nowMs) {
		ids.forEach((id) -> Optional.ofNullable(this.entries.get(id)).ifPresent((entry) -> entry.heardAtMs = nowMs));
	}

	/**
	 * Returns the targets that were heard from since a point in time.
	 * @param sinceMs the earliest monotonic time of contact, in milliseconds
	 * @return the ids of the targets
	 */
	public List<String> heardSince(long sinceMs) {
		return this.entries.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().heardAtMs >= sinceMs)
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the newest notice of each known target.
	 * @return the notices, including those of targets that are gone
	 */
	public List<TargetNotice> notices() {
		return this.entries.values().stream().map((entry) -> entry.notice).toList();
	}

	/**
	 * Returns the newest notice of a target.
	 * @param id the id
	 * @return the notice, or empty if the target is unknown
	 */
	public Optional<TargetNotice> notice(String id) {
		return Optional.ofNullable(this.entries.get(id)).map((entry) -> entry.notice);
	}

	/**
	 * Returns the targets that accept requests of a pool. Of several targets at one
	 * address only the one that started last is considered, since the others must have
	 * ended.
	 * @param pool the pool
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the notices of the targets
	 */
	public List<TargetNotice> ready(String pool, long nowMs) {
		Map<String, TargetNotice> lastByAddress = new HashMap<>();
		this.entries.values()
			.forEach((entry) -> lastByAddress.merge(entry.notice.address(), entry.notice,
					(one, other) -> (one.bornMs() >= other.bornMs()) ? one : other));
		List<TargetNotice> ready = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			TargetNotice notice = entry.notice;
			if (notice.state() == TargetNotice.State.READY && notice.pool().equals(pool)
					&& nowMs - entry.heardAtMs <= this.silenceLimitMs
					&& notice.equals(lastByAddress.get(notice.address()))) {
				ready.add(notice);
			}
		}
		return ready;
	}

	/**
	 * Removes the targets that have not been heard from for the eviction time.
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void evictSilent(long nowMs) {
		this.entries.values().removeIf((entry) -> nowMs - entry.heardAtMs > this.evictAfterMs);
	}

	private static final class Entry {

		private TargetNotice notice;

		private long heardAtMs;

		Entry(TargetNotice notice, long heardAtMs) {
			this.notice = notice;
			this.heardAtMs = heardAtMs;
		}

	}

}
