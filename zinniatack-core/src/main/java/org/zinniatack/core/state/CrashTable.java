package org.zinniatack.core.state;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks requests that may crash targets. A request in flight on a crashed target becomes
 * a suspect; a suspect is quarantined if a target crashes while running it alone.
 */
public final class CrashTable {

	private static final int MAX_ENTRIES = 4096;

	private final Set<String> suspects = new LinkedHashSet<>();

	private final Set<String> quarantined = new LinkedHashSet<>();

	private final Deque<String> crashIds = new ArrayDeque<>();

	private long version;

	static CrashTable of(Image image) {
		CrashTable table = new CrashTable();
		table.suspects.addAll(image.suspects());
		table.quarantined.addAll(image.quarantined());
		table.crashIds.addAll(image.crashIds());
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

	void clearSuspect(String digest) {
		if (this.suspects.remove(digest)) {
			this.version++;
		}
	}

	void liftQuarantine(String digest) {
		boolean wasQuarantined = this.quarantined.remove(digest);
		boolean wasSuspect = this.suspects.remove(digest);
		if (wasQuarantined || wasSuspect) {
			this.version++;
		}
	}

	Image image() {
		return new Image(this.version, List.copyOf(this.suspects), List.copyOf(this.quarantined),
				List.copyOf(this.crashIds));
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
	 */
	public record Image(long version, List<String> suspects, List<String> quarantined, List<String> crashIds) {
	}

}
