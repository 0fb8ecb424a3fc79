package org.zinniatack.core.state;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks requests that may crash targets. Agents tell all requests in flight on a crashed
 * target: each becomes a suspect, and a suspect is quarantined if a target crashes while
 * running it alone. Without agents, each entry tells only the requests that it lost
 * itself; {@link SuspectedRequests} says what follows.
 */
public final class CrashTable {

	private static final int MAX_ENTRIES = 4096;

	/** Time for a released request to be answered, or to end its target. */
	private static final long TRIAL_MS = 30_000;

	private final Set<String> suspects = new LinkedHashSet<>();

	private final Set<String> quarantined = new LinkedHashSet<>();

	private final Deque<String> crashIds = new ArrayDeque<>();

	private SuspectedRequests lost = new SuspectedRequests();

	private final Map<String, Long> trialAtMsByDigest = new TreeMap<>();

	private long version;

	static CrashTable of(Image image) {
		CrashTable table = new CrashTable();
		table.suspects.addAll(image.suspects());
		table.quarantined.addAll(image.quarantined());
		table.crashIds.addAll(image.crashIds());
		table.lost = SuspectedRequests.of(image.lost());
		table.trialAtMsByDigest.putAll(image.trialAtMsByDigest());
		table.version = image.version();
		return table;
	}

	void report(String crashId, Collection<String> digests) {
		if (this.crashIds.contains(crashId)) {
			return;
		}
		this.crashIds.add(crashId);
		trim(this.crashIds);
		this.version++;
		boolean alone = digests.size() == 1;
		for (String digest : digests) {
			if (alone && this.suspects.contains(digest)) {
				this.quarantined.add(digest);
			}
			else {
				this.suspects.add(digest);
			}
		}
		trim(this.suspects);
		trim(this.quarantined);
	}

	/**
	 * Applies what an entry without agents reports. The answers come first: they were
	 * received before the losses, or belong to other requests.
	 */
	void reportLosses(Collection<String> answeredDigests, Collection<Suspicion> losses) {
		for (String digest : answeredDigests) {
			this.version += this.lost.remove(digest) ? 1 : 0;
			this.trialAtMsByDigest.remove(digest);
		}
		losses.forEach(this.lost::add);
		losses.forEach((loss) -> this.trialAtMsByDigest.remove(loss.digest()));
		this.version += losses.size();
	}

	/**
	 * Lets one entry try a released request; returns false while another trial may run.
	 */
	boolean beginTrial(Command.ReportCrash.Trial trial) {
		this.trialAtMsByDigest.values().removeIf((atMs) -> Math.abs(trial.atMs() - atMs) >= TRIAL_MS);
		return this.trialAtMsByDigest.putIfAbsent(trial.digest(), trial.atMs()) == null;
	}

	void clearSuspect(String digest) {
		boolean wasSuspect = this.suspects.remove(digest);
		boolean wasLost = this.lost.remove(digest);
		if (wasSuspect || wasLost) {
			this.version++;
		}
	}

	void liftQuarantine(String digest) {
		boolean wasQuarantined = this.quarantined.remove(digest);
		boolean wasSuspect = this.suspects.remove(digest);
		boolean wasLost = this.lost.remove(digest);
		if (wasQuarantined || wasSuspect || wasLost) {
			this.version++;
		}
	}

	Image image() {
		return new Image(this.version, List.copyOf(this.suspects), List.copyOf(this.quarantined),
				List.copyOf(this.crashIds), this.lost.all(), Map.copyOf(this.trialAtMsByDigest));
	}

	/** Returns the requests that entries without agents lost. */
	SuspectedRequests lost() {
		return this.lost;
	}

	private static void trim(Collection<String> oldestFirst) {
		while (oldestFirst.size() > MAX_ENTRIES) {
			oldestFirst.remove(oldestFirst.iterator().next());
		}
	}

	/**
	 * The stored form of the table.
	 *
	 * @param version the number of changes so far
	 * @param suspects the digests of suspects, oldest first
	 * @param quarantined the digests of quarantined requests, oldest first
	 * @param crashIds the ids of the counted crashes, oldest first
	 * @param lost the requests that entries without agents lost, oldest first
	 * @param trialAtMsByDigest the times of the last trials of released requests, in
	 * milliseconds since the epoch
	 */
	public record Image(long version, List<String> suspects, List<String> quarantined, List<String> crashIds,
			List<Suspicion> lost, Map<String, Long> trialAtMsByDigest) {

		/**
		 * Accepts an image without lost requests and trials, as earlier versions stored
		 * it.
		 */
		public Image {
			lost = Objects.requireNonNullElse(lost, List.of());
			trialAtMsByDigest = Objects.requireNonNullElse(trialAtMsByDigest, Map.of());
		}

	}

}
