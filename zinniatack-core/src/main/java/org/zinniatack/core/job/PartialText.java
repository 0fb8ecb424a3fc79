package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.zinniatack.core.size.HeapSize;

/**
 * The beginning of an item's output, from which a target of the same software version can
 * resume generation.
 *
 * @param events the data of each event
 * @param versions the weight versions that generated the events, in order of use
 * @param lastEventId the id of the last event
 * @param softwareVersion the software version of the targets that generated the events,
 * empty if they stated none
 */
public record PartialText(List<String> events, List<Long> versions, long lastEventId, String softwareVersion) {

	/**
	 * Copies the arguments. Texts that earlier versions stored name no software version.
	 */
	public PartialText {
		events = List.copyOf(events);
		versions = List.copyOf(versions);
		softwareVersion = Objects.requireNonNullElse(softwareVersion, "");
	}

	/**
	 * Returns a text of targets that stated no software version.
	 * @param events the data of each event
	 * @param versions the weight versions that generated the events, in order of use
	 * @param lastEventId the id of the last event
	 */
	public PartialText(List<String> events, List<Long> versions, long lastEventId) {
		this(events, versions, lastEventId, "");
	}

	/**
	 * Returns this text followed by further events.
	 * @param further the events to append
	 * @return the combined text
	 */
	public PartialText append(PartialText further) {
		List<String> allEvents = new ArrayList<>(this.events);
		allEvents.addAll(further.events);
		Set<Long> allVersions = new LinkedHashSet<>(this.versions);
		allVersions.addAll(further.versions);
		return new PartialText(allEvents, List.copyOf(allVersions), further.lastEventId, further.softwareVersion);
	}

	/** Returns the heap that the text takes, in bytes. */
	long heapBytes() {
		return 2 * HeapSize.OBJECT_BYTES + HeapSize.of(this.events) + HeapSize.OBJECT_BYTES * this.versions.size();
	}

	/**
	 * Returns whether a job with a version bound accepts the text.
	 * @param oldestVersion the oldest weight version that the job accepts
	 * @return true if there are events and no older version generated any of them
	 */
	public boolean meetsOldestVersion(long oldestVersion) {
		return !this.events.isEmpty() && this.versions.stream().allMatch((version) -> version >= oldestVersion);
	}

}
