package org.zinniatack.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.zinniatack.core.stream.SoftwareSighting;

/**
 * Keeps the newest notice of each target. Notices may arrive late, repeatedly or out of
 * order. Until a target restarts, its state only advances from ready to draining to gone,
 * whatever arrives later.
 */
public final class TargetDirectory {

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	/** Targets without a start time are taken to have started when they were learned. */
	private static final Comparator<Entry> STARTED_FIRST = Comparator
		.<Entry>comparingLong((entry) -> entry.notice.bornMs())
		.thenComparingLong((entry) -> entry.knownSinceMs)
		.thenComparing((entry) -> entry.notice.id());

	/**
	 * Added to the time for which a target says that it is cold, since a notice that
	 * extends it by less is not forwarded.
	 */
	static final long COLD_MARGIN_MS = 200;

	private final Map<String, Entry> entries = new HashMap<>();

	/** The time for which targets are cold after a start, for pools with a bound. */
	private Map<String, Long> coldStartMsByPool = Map.of();

	private final long silenceLimitMs;

	private final long evictAfterMs;

	private Evacuations evacuations = Evacuations.NONE;

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
	 * Merges a notice that has just arrived from the target itself.
	 * @param notice the notice
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if a change must be forwarded to other processes
	 */
	public boolean merge(TargetNotice notice, long nowMs) {
		return merge(notice, nowMs, nowMs);
	}

	/**
	 * Merges a notice that another process passed on.
	 * @param notice the notice
	 * @param silenceMs the time since a process received the newest announcement of the
	 * target, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if a change must be forwarded to other processes
	 */
	public boolean mergeRelayed(TargetNotice notice, long silenceMs, long nowMs) {
		return merge(notice, nowMs - silenceMs, nowMs);
	}

	private boolean merge(TargetNotice notice, long heardAtMs, long nowMs) {
		Entry known = this.entries.get(notice.id());
		if (known == null) {
			this.entries.put(notice.id(), new Entry(notice, heardAtMs, nowMs));
			return true;
		}
		TargetNotice before = known.notice;
		long coldBeforeMs = known.coldUntilMs;
		boolean sameStart = notice.bornMs() == before.bornMs();
		if (!notice.isNewerThan(before)) {
			boolean advances = sameStart && notice.state().compareTo(before.state()) > 0;
			known.notice = advances ? before.withState(notice.state()) : before;
			return advances;
		}
		TargetNotice merged = (sameStart && before.state().compareTo(notice.state()) > 0)
				? notice.withState(before.state()) : notice;
		known.notice = merged;
		if (!sameStart || !before.address().equals(merged.address())) {
			known.absentAtMs = NEVER_MS;
		}
		known.coldUntilMs = coldUntilMs(notice, heardAtMs);
		if (!sameStart || notice.sequence() > known.heardSequence) {
			known.hear(notice.sequence(), heardAtMs, nowMs);
		}
		boolean becameCold = known.coldUntilMs > Math.max(nowMs, coldBeforeMs + COLD_MARGIN_MS)
				&& this.coldStartMsByPool.containsKey(merged.pool());
		return becameCold || !haveSameRelevantFields(before, merged);
	}

	private static long coldUntilMs(TargetNotice notice, long heardAtMs) {
		return (notice.coldRemainingMs() > 0) ? heardAtMs + notice.coldRemainingMs() : NEVER_MS;
	}

	/**
	 * Sets the pools whose targets get a bounded number of requests while they are cold.
	 * @param newest the time for which a target is cold after its start by pool, in
	 * milliseconds
	 */
	public void setColdStarts(Map<String, Long> newest) {
		this.coldStartMsByPool = Map.copyOf(newest);
	}

	/**
	 * Returns whether a target is cold. It is if the id is unknown.
	 * @param targetId the id of the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false if it is not, or if its pool has no bound for cold targets
	 */
	public boolean isCold(String targetId, long nowMs) {
		Entry known = this.entries.get(targetId);
		if (known == null) {
			return true;
		}
		Long coldStartMs = this.coldStartMsByPool.get(known.notice.pool());
		return coldStartMs != null && (nowMs <= Math.max(known.coldUntilMs + COLD_MARGIN_MS, known.countedColdUntilMs)
				|| known.mayHaveRestarted(coldStartMs, nowMs));
	}

	/**
	 * Records that a connection to a target was lost. Until it is heard from, it may have
	 * restarted under its id, so it counts as cold for the time that its pool states.
	 * @param target the notice of the target at the time of the request
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordLost(TargetNotice target, long nowMs) {
		Entry known = this.entries.get(target.id());
		if (known != null && known.notice.bornMs() == target.bornMs()) {
			known.lostAtMs = nowMs;
		}
	}

	/**
	 * Records that a target said in an answer that it is cold. The answer may have
	 * arrived late, so it only extends the time.
	 * @param target the notice of the target at the time of the request
	 * @param remainingMs how much longer it is cold, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordCold(TargetNotice target, long remainingMs, long nowMs) {
		Entry known = this.entries.get(target.id());
		if (known != null && known.notice.bornMs() == target.bornMs() && remainingMs > 0) {
			known.coldUntilMs = Math.max(known.coldUntilMs, nowMs + remainingMs);
		}
	}

	/**
	 * Counts the targets of a failure domain as cold from now on, each for the time that
	 * its pool states. They may have become cold while they got no requests.
	 * @param failureDomain the failure domain whose evacuation has ended
	 * @param nowMs the monotonic time, in milliseconds
	 */
	private void countAsCold(String failureDomain, long nowMs) {
		this.entries.values()
			.stream()
			.filter((entry) -> entry.notice.failureDomain().equals(failureDomain))
			.forEach((entry) -> entry.countedColdUntilMs = nowMs
					+ this.coldStartMsByPool.getOrDefault(entry.notice.pool(), 0L));
	}

	private static boolean haveSameRelevantFields(TargetNotice one, TargetNotice other) {
		return one.bornMs() == other.bornMs() && one.state() == other.state() && one.pool().equals(other.pool())
				&& one.address().equals(other.address()) && one.weightVersions().equals(other.weightVersions())
				&& one.softwareVersion().equals(other.softwareVersion());
	}

	/**
	 * Records that another process has heard from targets without telling what.
	 * @param ids the ids of the targets
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordHeard(Collection<String> ids, long nowMs) {
		ids.forEach((id) -> Optional.ofNullable(this.entries.get(id)).ifPresent((entry) -> entry.heardAtMs = nowMs));
	}

	/**
	 * Records an announcement that another process received. One that is not newer than
	 * what is known changes nothing, so that processes cannot keep a silent target alive
	 * by telling each other of it.
	 * @param heard the announcement
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void recordHeard(HeardTarget heard, long nowMs) {
		Entry known = this.entries.get(heard.id());
		if (known != null && known.notice.bornMs() == heard.bornMs() && heard.sequence() > known.heardSequence) {
			known.hear(heard.sequence(), nowMs, nowMs);
		}
	}

	/**
	 * Returns the targets of which news has arrived since a point in time.
	 * @param sinceMs the earliest monotonic time of arrival, in milliseconds
	 * @return the newest announcement of each of these targets
	 */
	public List<HeardTarget> heardSince(long sinceMs) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.learnedAtMs >= sinceMs)
			.map((entry) -> new HeardTarget(entry.notice.id(), entry.notice.bornMs(), entry.heardSequence))
			.toList();
	}

	/**
	 * Returns the time since a process heard from a target.
	 * @param id the id of a known target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the time in milliseconds
	 */
	public long silenceMs(String id, long nowMs) {
		return nowMs - this.entries.get(id).heardAtMs;
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
	 * Records that another target answered at the address of a target.
	 * @param target the notice of the target at the time of the request
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if it is the first such answer since the target started
	 */
	public boolean recordAbsent(TargetNotice target, long nowMs) {
		Entry known = this.entries.get(target.id());
		if (known == null || known.notice.bornMs() != target.bornMs()
				|| !known.notice.address().equals(target.address())) {
			return false;
		}
		boolean first = known.absentAtMs == NEVER_MS;
		known.absentAtMs = nowMs;
		return first;
	}

	/**
	 * Takes over the evacuated failure domains unless newer ones are known, so a process
	 * that has applied less cannot revert an order. Targets of a failure domain whose
	 * evacuation has ended count as cold.
	 * @param newest the evacuated failure domains
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if other failure domains are evacuated than before
	 */
	public boolean updateEvacuations(Evacuations newest, long nowMs) {
		if (newest.index() <= this.evacuations.index()) {
			return false;
		}
		boolean changed = !newest.domains().equals(this.evacuations.domains());
		this.evacuations.domains()
			.stream()
			.filter((domain) -> !newest.domains().contains(domain))
			.forEach((domain) -> countAsCold(domain, nowMs));
		this.evacuations = newest;
		return changed;
	}

	/**
	 * Returns the newest known evacuated failure domains.
	 * @return the failure domains with their index
	 */
	public Evacuations evacuations() {
		return this.evacuations;
	}

	/**
	 * Returns whether nothing must be sent to a target because of its failure domain.
	 * @param target the target
	 * @return true if its failure domain is evacuated
	 */
	public boolean isEvacuated(TargetNotice target) {
		return this.evacuations.domains().contains(target.failureDomain());
	}

	/**
	 * Returns the targets that accept requests of a pool, except those of evacuated
	 * failure domains. Of several targets at one address it returns only one: the one
	 * that started last, since the others must have ended, unless it is silent while
	 * another is heard, or its address refused to be it.
	 * @param pool the pool
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the notices of the targets
	 */
	public List<TargetNotice> ready(String pool, long nowMs) {
		Map<String, Entry> believedByAddress = new HashMap<>();
		this.entries.values()
			.forEach((entry) -> believedByAddress.merge(entry.notice.address(), entry,
					(one, other) -> believed(one, other, nowMs)));
		List<TargetNotice> ready = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			TargetNotice notice = entry.notice;
			if (notice.pool().equals(pool) && isReady(entry, nowMs) && !isEvacuated(notice)
					&& entry == believedByAddress.get(notice.address())) {
				ready.add(notice);
			}
		}
		return ready;
	}

	/**
	 * Returns the software versions of the targets of a pool, also of those that have
	 * left and are not forgotten yet.
	 * @param pool the pool
	 * @return the versions
	 */
	public Set<String> softwareVersions(String pool) {
		return this.entries.values()
			.stream()
			.map((entry) -> entry.notice)
			.filter((notice) -> notice.pool().equals(pool))
			.map(TargetNotice::softwareVersion)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the software versions of the targets that run now.
	 * @param nowMs the monotonic time, in milliseconds
	 * @param wallMs the time, in milliseconds since the epoch
	 * @return a sighting for each version in each pool
	 */
	public Set<SoftwareSighting> softwareSightings(long nowMs, long wallMs) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.notice.state() != TargetNotice.State.GONE
					&& nowMs - entry.heardAtMs <= this.silenceLimitMs)
			.map((entry) -> new SoftwareSighting(entry.notice.pool(), entry.notice.softwareVersion(), wallMs))
			.collect(Collectors.toUnmodifiableSet());
	}

	private boolean isReady(Entry entry, long nowMs) {
		return entry.notice.state() == TargetNotice.State.READY && nowMs - entry.heardAtMs <= this.silenceLimitMs;
	}

	/** Returns which of two targets at one address is more likely to be there. */
	private Entry believed(Entry one, Entry other, long nowMs) {
		boolean oneIsLater = STARTED_FIRST.compare(one, other) > 0;
		Entry later = oneIsLater ? one : other;
		Entry earlier = oneIsLater ? other : one;
		if (!isReady(earlier, nowMs)) {
			return later;
		}
		// An announcement of a target that has ended may arrive late.
		boolean heardWhileLaterIsSilent = earlier.heardAtMs - later.heardAtMs > this.silenceLimitMs / 2;
		if (heardWhileLaterIsSilent && !isReady(later, nowMs)) {
			return earlier;
		}
		if (earlier.absentAtMs != later.absentAtMs) {
			return (earlier.absentAtMs < later.absentAtMs) ? earlier : later;
		}
		return heardWhileLaterIsSilent ? earlier : later;
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

		/** The number of the newest announcement that some process received. */
		private long heardSequence;

		/** When that announcement was received. */
		private long heardAtMs = NEVER_MS;

		/** When this process learned of that announcement. */
		private long learnedAtMs;

		private final long knownSinceMs;

		/** When the target is no longer cold, by its newest notice. */
		private long coldUntilMs;

		/** Until when the target counts as cold after an evacuation. */
		private long countedColdUntilMs = NEVER_MS;

		/** When a connection to the target was last lost. */
		private long lostAtMs = NEVER_MS;

		/** When another target last answered at the address. */
		private long absentAtMs = NEVER_MS;

		Entry(TargetNotice notice, long heardAtMs, long nowMs) {
			this.notice = notice;
			this.knownSinceMs = nowMs;
			this.coldUntilMs = TargetDirectory.coldUntilMs(notice, heardAtMs);
			hear(notice.sequence(), heardAtMs, nowMs);
		}

		boolean mayHaveRestarted(long coldStartMs, long nowMs) {
			return this.learnedAtMs <= this.lostAtMs && nowMs - this.lostAtMs <= coldStartMs;
		}

		void hear(long sequence, long atMs, long nowMs) {
			this.heardSequence = sequence;
			this.heardAtMs = Math.max(this.heardAtMs, atMs);
			this.learnedAtMs = nowMs;
			// A notice is passed on with the time since the target was heard from.
			if (this.notice.coldRemainingMs() > 0) {
				this.notice = this.notice.withColdRemaining(Math.max(0, this.coldUntilMs - this.heardAtMs));
			}
		}

	}

}
