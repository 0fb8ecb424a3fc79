package org.zinniatack.core.stream;

import java.util.Map;
import java.util.Set;

/**
 * The software versions in the replicated state, as a control process knows them.
 *
 * @param index the log index of the last command that the process has applied
 * @param versionsByPool the software versions by pool
 */
public record RecordedSoftware(long index, Map<String, Set<String>> versionsByPool) {

	/** No versions, as known before the first command. */
	public static final RecordedSoftware NONE = new RecordedSoftware(0, Map.of());

	/**
	 * Returns whether a version is recorded.
	 * @param pool the pool
	 * @param softwareVersion the software version
	 * @return true if each process that reads the replicated state finds it
	 */
	public boolean contains(String pool, String softwareVersion) {
		return this.versionsByPool.getOrDefault(pool, Set.of()).contains(softwareVersion);
	}

}
