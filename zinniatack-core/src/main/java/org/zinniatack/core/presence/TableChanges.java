package org.zinniatack.core.presence;

import java.util.List;
import java.util.Map;

/**
 * A delta that updates a copy of a table to a newer version, or a full snapshot.
 *
 * @param <V> the type of a row
 * @param incarnation the id of the table, new at each start of its process
 * @param whole true for a snapshot of the whole table
 * @param baseNumber the version that the delta applies to, 0 for a snapshot
 * @param number the version after the changes
 * @param changed the added and changed rows, by key
 * @param removed the keys of the removed rows
 */
public record TableChanges<V>(String incarnation, boolean whole, long baseNumber, long number, Map<String, V> changed,
		List<String> removed) {
}
