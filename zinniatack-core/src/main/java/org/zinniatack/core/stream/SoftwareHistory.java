package org.zinniatack.core.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The software versions of the targets of each pool in the last minutes. It tells where
 * streams can have begun of which no process remembers the origin.
 *
 * @param sightings the sightings, at most one of a version in a pool
 */
public record SoftwareHistory(List<SoftwareSighting> sightings) {

	/** The time between two records of a version that serves, in milliseconds. */
	public static final long RECORD_INTERVAL_MS = 20_000;

	/** The last stream of a version may have begun an interval after its last record. */
	private static final long RETENTION_MS = StreamOrigins.RETENTION_MS + RECORD_INTERVAL_MS;

	/** Far above the number of versions that serve in two minutes. */
	private static final int MAX_COUNT = 1_024;

	/**
	 * Copies the sightings.
	 */
	public SoftwareHistory {
		sightings = List.copyOf(sightings);
	}

	/**
	 * Returns this history with another sighting, without those long before it.
	 * @param sighting the sighting
	 * @return the history
	 */
	public SoftwareHistory with(SoftwareSighting sighting) {
		long seenAtMs = Math.max(sighting.seenAtMs(),
				find(sighting.pool(), sighting.softwareVersion()).map(SoftwareSighting::seenAtMs).orElse(0L));
		List<SoftwareSighting> kept = new ArrayList<>(this.sightings);
		kept.removeIf((other) -> isSame(other, sighting.pool(), sighting.softwareVersion())
				|| sighting.seenAtMs() - other.seenAtMs() > RETENTION_MS);
		kept.add(new SoftwareSighting(sighting.pool(), sighting.softwareVersion(), seenAtMs));
		return new SoftwareHistory(kept.subList(Math.max(0, kept.size() - MAX_COUNT), kept.size()));
	}

	private static boolean isSame(SoftwareSighting sighting, String pool, String softwareVersion) {
		return sighting.pool().equals(pool) && sighting.softwareVersion().equals(softwareVersion);
	}

	private Optional<SoftwareSighting> find(String pool, String softwareVersion) {
		return this.sightings.stream().filter((other) -> isSame(other, pool, softwareVersion)).findFirst();
	}

	/**
	 * Returns whether a sighting must be recorded.
	 * @param sighting the sighting
	 * @return false if its version was recorded recently
	 */
	public boolean isDue(SoftwareSighting sighting) {
		return find(sighting.pool(), sighting.softwareVersion())
			.filter((known) -> Math.abs(sighting.seenAtMs() - known.seenAtMs()) < RECORD_INTERVAL_MS)
			.isEmpty();
	}

	/**
	 * Returns the software versions at which a stream can have begun that a caller may
	 * still take up.
	 * @param pool the pool
	 * @return the versions
	 */
	public Set<String> versions(String pool) {
		return this.sightings.stream()
			.filter((sighting) -> sighting.pool().equals(pool))
			.map(SoftwareSighting::softwareVersion)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the software versions of all pools at which a stream can have begun that a
	 * caller may still take up.
	 * @return the versions by pool
	 */
	public Map<String, Set<String>> versionsByPool() {
		return this.sightings.stream()
			.collect(Collectors.groupingBy(SoftwareSighting::pool,
					Collectors.mapping(SoftwareSighting::softwareVersion, Collectors.toUnmodifiableSet())));
	}

}
