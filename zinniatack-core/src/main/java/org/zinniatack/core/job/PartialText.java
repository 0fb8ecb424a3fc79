package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The first events of an item's output, from which any target can go on.
 *
 * @param events the data of each event
 * @param versions the weight versions that made them, in the order of their use
 * @param lastEventId the id of the last event
 */
public record PartialText(List<String> events, List<Long> versions, long lastEventId) {

	/**
	 * Copies the arguments.
	 */
	public PartialText {
		events = List.copyOf(events);
		versions = List.copyOf(versions);
	}

	/**
	 * Returns the text with further events.
	 * @param further the events that follow
	 * @return the longer text
	 */
	public PartialText append(PartialText further) {
		List<String> joined = new ArrayList<>(this.events);
		joined.addAll(further.events);
		Set<Long> both = new LinkedHashSet<>(this.versions);
		both.addAll(further.versions);
		return new PartialText(joined, List.copyOf(both), further.lastEventId);
	}

	/**
	 * Returns whether a job accepts the text.
	 * @param oldestVersion the oldest weight version that the job accepts
	 * @return true if none of its events was made under an older one
	 */
	public boolean meetsOldestVersion(long oldestVersion) {
		return !this.events.isEmpty() && this.versions.stream().allMatch((version) -> version >= oldestVersion);
	}

}
