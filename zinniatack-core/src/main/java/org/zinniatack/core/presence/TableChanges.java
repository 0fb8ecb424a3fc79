package org.zinniatack.core.presence;

import java.util.List;
import java.util.Map;

/**
 * What brings a copy of a table from one version to a newer one.
 *
 * @param <V> the type of a row
 * @param incarnation the id of the table
 * @param whole true if the changes are the whole table
 * @param baseNumber the version that the changes build on, 0 if they are the whole table
 * @param number the version that the changes lead to
 * @param changed the rows that are new or have changed, by key
 * @param removed the keys of rows that are gone
 */
public record TableChanges<V>(String incarnation, boolean whole, long baseNumber, long number, Map<String, V> changed,
		List<String> removed) {
}
