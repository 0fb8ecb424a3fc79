package org.zinniatack.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The entries that connected entries name. An entry that knows few yet, because it has
 * just started, hides none that another names.
 */
final class KnownEntries {

	private final Map<String, Map<String, String>> listsByEntry = new HashMap<>();

	/** Takes over the newest list of an entry. */
	synchronized void put(String entryId, Map<String, String> addressesById) {
		this.listsByEntry.put(entryId, Map.copyOf(addressesById));
	}

	/** Forgets the list of an entry that is no longer connected. */
	synchronized void remove(String entryId) {
		this.listsByEntry.remove(entryId);
	}

	/** Returns the addresses of all entries that any list names, by id. */
	synchronized Map<String, String> all() {
		Map<String, String> all = new TreeMap<>();
		this.listsByEntry.values().forEach(all::putAll);
		return all;
	}

}
