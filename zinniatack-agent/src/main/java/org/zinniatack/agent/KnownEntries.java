package org.zinniatack.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The union of the entry lists received from connected entries. Entries that one list
 * lacks, because its sender has just started, are kept if another list has them.
 */
final class KnownEntries {

	private final Map<String, Map<String, String>> listsByEntry = new HashMap<>();

	/** Replaces the list received from an entry. */
	synchronized void put(String entryId, Map<String, String> addressesById) {
		this.listsByEntry.put(entryId, Map.copyOf(addressesById));
	}

	/** Removes the list of an entry that is no longer connected. */
	synchronized void remove(String entryId) {
		this.listsByEntry.remove(entryId);
	}

	/** Returns the addresses of all entries in any list, by id. */
	synchronized Map<String, String> all() {
		Map<String, String> all = new TreeMap<>();
		this.listsByEntry.values().forEach(all::putAll);
		return all;
	}

}
