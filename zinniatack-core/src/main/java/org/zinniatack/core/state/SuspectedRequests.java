package org.zinniatack.core.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The requests that may have ended targets, and the policy for them. A request is
 * suspected once two targets ended while they ran it and none answered it since. It is
 * quarantined once three did, unless another request ran on all of the same targets: then
 * either of them may be innocent, until one is answered or a further target ends. A
 * quarantine ends after a time, which is eight times as long after each failed trial.
 */
public final class SuspectedRequests {

	private static final int SUSPECTED_TARGETS = 2;

	private static final int QUARANTINED_TARGETS = 3;

	/** From here on a request is quarantined whatever else its targets ran. */
	private static final int CERTAIN_TARGETS = 5;

	/** Short, since an innocent request may be in quarantine after a burst of crashes. */
	private static final long QUARANTINE_MS = TimeUnit.MINUTES.toMillis(1);

	/** Each failed trial makes the quarantine longer by the factor 2 to this power. */
	private static final int QUARANTINE_GROWTH_BITS = 3;

	private static final int MAXIMUM_GROWTH_BITS = 30;

	private static final long MAXIMUM_QUARANTINE_MS = TimeUnit.DAYS.toMillis(1);

	/** Longer than a caller waits before it sends a request again. */
	private static final long MEMORY_MS = TimeUnit.MINUTES.toMillis(20);

	/**
	 * The number of requests that are remembered; the oldest under which few targets
	 * ended are forgotten first.
	 */
	public static final int MAXIMUM_REQUESTS = 1_024;

	/** The suspicions by digest, in the order of their last losses. */
	private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

	/**
	 * Returns the requests of a list.
	 * @param suspicions the suspicions, in the order of their last losses
	 * @return the requests
	 */
	public static SuspectedRequests of(Collection<Suspicion> suspicions) {
		SuspectedRequests requests = new SuspectedRequests();
		suspicions.forEach(requests::add);
		return requests;
	}

	/**
	 * Adds a suspicion to what is known of its request.
	 * @param suspicion the suspicion
	 */
	public void add(Suspicion suspicion) {
		Suspicion known = this.suspicions.remove(suspicion.digest());
		boolean remembered = known != null && !isForgotten(known, suspicion.lastLossAtMs());
		this.suspicions.put(suspicion.digest(), remembered ? joined(known, suspicion) : suspicion);
		if (this.suspicions.size() > MAXIMUM_REQUESTS) {
			this.suspicions.remove(leastNeeded(suspicion.lastLossAtMs()).digest());
		}
	}

	/** Returns the oldest of those under which the fewest targets ended. */
	private Suspicion leastNeeded(long nowMs) {
		return this.suspicions.values()
			.stream()
			.min(Comparator.comparingInt((suspicion) -> endedTargets(suspicion, nowMs)))
			.orElseThrow();
	}

	private static int endedTargets(Suspicion suspicion, long nowMs) {
		return isForgotten(suspicion, nowMs) ? 0 : Math.min(suspicion.targets().size(), QUARANTINED_TARGETS);
	}

	private static Suspicion joined(Suspicion known, Suspicion added) {
		Suspicion joined = known.and(added);
		boolean trialFailed = known.targets().size() >= QUARANTINED_TARGETS
				&& added.lastLossAtMs() >= quarantineEndMs(known) && joined.failedTrials() == known.failedTrials();
		return trialFailed ? joined.afterFailedTrial() : joined;
	}

	/**
	 * Removes a request, since a target answered it.
	 * @param digest the digest of the request
	 * @return true if it was known
	 */
	public boolean remove(String digest) {
		return this.suspicions.remove(digest) != null;
	}

	/**
	 * Returns what is known of a request.
	 * @param digest the digest of the request
	 * @return the suspicion, or empty without one
	 */
	public Optional<Suspicion> suspicion(String digest) {
		return Optional.ofNullable(this.suspicions.get(digest));
	}

	/**
	 * Returns whether a request may run.
	 * @param digest the digest of the request
	 * @param nowMs the time by the clock of the suspicions, in milliseconds
	 * @return the standing, CLEAR for an unknown request
	 */
	public Standing standing(String digest, long nowMs) {
		Suspicion known = this.suspicions.get(digest);
		if (known == null || known.targets().size() < SUSPECTED_TARGETS || isForgotten(known, nowMs)) {
			return Standing.CLEAR;
		}
		if (!isConvicted(known, nowMs)) {
			return Standing.SUSPECT;
		}
		return (nowMs < quarantineEndMs(known)) ? Standing.QUARANTINED : Standing.RELEASED;
	}

	private boolean isConvicted(Suspicion known, long nowMs) {
		int count = known.targets().size();
		return count >= CERTAIN_TARGETS || (count >= QUARANTINED_TARGETS && this.suspicions.values()
			.stream()
			.noneMatch((other) -> other.explains(known) && !isForgotten(other, nowMs)));
	}

	/**
	 * Returns the end of the quarantine of a request.
	 * @param suspicion the suspicion
	 * @return the time by the clock of the suspicion, in milliseconds
	 */
	public static long quarantineEndMs(Suspicion suspicion) {
		return suspicion.lastLossAtMs() + quarantineMs(suspicion);
	}

	private static long quarantineMs(Suspicion suspicion) {
		int growthBits = Math.min(QUARANTINE_GROWTH_BITS * suspicion.failedTrials(), MAXIMUM_GROWTH_BITS);
		return Math.min(MAXIMUM_QUARANTINE_MS, QUARANTINE_MS << growthBits);
	}

	/**
	 * A request is forgotten when it has been free for as long as its quarantine, and for
	 * some time at least.
	 */
	private static boolean isForgotten(Suspicion suspicion, long nowMs) {
		return nowMs - suspicion.lastLossAtMs() > Math.max(MEMORY_MS, 2 * quarantineMs(suspicion));
	}

	/**
	 * Returns all suspicions.
	 * @return the suspicions, in the order of their last losses
	 */
	public List<Suspicion> all() {
		return List.copyOf(this.suspicions.values());
	}

	/**
	 * Returns the suspicions on which the policy acts.
	 * @param nowMs the time by the clock of the suspicions, in milliseconds
	 * @return those of requests that are suspected, quarantined or released
	 */
	public List<Suspicion> effective(long nowMs) {
		return this.suspicions.values()
			.stream()
			.filter((suspicion) -> suspicion.targets().size() >= SUSPECTED_TARGETS && !isForgotten(suspicion, nowMs))
			.toList();
	}

	/**
	 * Returns the quarantined requests.
	 * @param nowMs the time by the clock of the suspicions, in milliseconds
	 * @return their digests
	 */
	public List<String> quarantined(long nowMs) {
		return this.suspicions.keySet()
			.stream()
			.filter((digest) -> standing(digest, nowMs) == Standing.QUARANTINED)
			.toList();
	}

	/** What may be done with a request, from the least to the most restricted. */
	public enum Standing {

		/** The request may run. */
		CLEAR,

		/** The request may run on one target at a time. */
		SUSPECT,

		/** The quarantine has ended: one attempt may show whether a target survives. */
		RELEASED,

		/** The request may not run. */
		QUARANTINED

	}

}
