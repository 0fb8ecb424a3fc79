package org.zinniatack.core.state;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Tracks requests that may crash targets. Agents tell all requests in flight on a crashed
 * target: each becomes a suspect, and a suspect is quarantined if a target crashes while
 * running it alone. Without agents, each entry tells only the requests that it lost
 * itself; {@link SuspectedRequests} says what follows.
 */
public final class CrashTable {

	private static final int MAX_ENTRIES = 4096;

	private final Set<String> suspects = new LinkedHashSet<>();

	private final Set<String> quarantined = new LinkedHashSet<>();

	private final Deque<String> crashIds = new ArrayDeque<>();

	private SuspectedRequests lost = new SuspectedRequests();

	private long version;

	static CrashTable of(Image image) {
		CrashTable table = new CrashTable();
		table.suspects.addAll(image.suspects());
		table.quarantined.addAll(image.quarantined());
		table.crashIds.addAll(image.crashIds());
		table.lost = SuspectedRequests.of(image.lost());
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
		}
		losses.forEach(this.lost::add);
		this.version += losses.size();
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
				List.copyOf(this.crashIds), this.lost.all());
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
	 */
	public record Image(long version, List<String> suspects, List<String> quarantined, List<String> crashIds,
			List<Suspicion> lost) {

		/**
		 * Accepts an image without lost requests, as earlier versions stored it.
		 */
		public Image {
			lost = Objects.requireNonNullElse(lost, List.of());
		}

	}

}
