package org.zinniatack.core.presence;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * A table that numbers its changes, so that copies can be updated by deltas. Not
 * thread-safe.
 *
 * @param <V> the type of a row, compared with equals
 */
public final class VersionedTable<V> {

	/** Bounds memory: a copy that lacks an older removal gets the whole table. */
	private static final int MAXIMUM_REMOVALS = 4_096;

	private final String incarnation;

	private final Map<String, Row<V>> rows = new HashMap<>();

	private final TreeMap<Long, String> removals = new TreeMap<>();

	private long number;

	private long discardedUpToNumber;

	private VersionedTable(String incarnation) {
		this.incarnation = incarnation;
	}

	/**
	 * Returns an empty table.
	 * @param <V> the type of a row
	 * @param incarnation an id that was never used for another table
	 * @return the table
	 */
	public static <V> VersionedTable<V> of(String incarnation) {
		if (incarnation.isEmpty()) {
			throw new IllegalArgumentException("incarnation must not be empty");
		}
		return new VersionedTable<>(incarnation);
	}

	/**
	 * Returns the changes that a copy is missing.
	 * @param known the version of the copy
	 * @return the changes since that version, or the whole table if the copy has another
	 * incarnation or a version from which no delta can be computed
	 */
	public TableChanges<V> changesAfter(TableVersion known) {
		boolean incremental = known.incarnation().equals(this.incarnation) && known.number() >= this.discardedUpToNumber
				&& known.number() <= this.number;
		long baseNumber = incremental ? known.number() : 0;
		Map<String, V> changed = new HashMap<>();
		this.rows.forEach((key, row) -> {
			if (!incremental || row.number() > baseNumber) {
				changed.put(key, row.value());
			}
		});
		List<String> removed = incremental ? List.copyOf(Set.copyOf(this.removals.tailMap(baseNumber, false).values()))
				: List.of();
		return new TableChanges<>(this.incarnation, !incremental, baseNumber, this.number, changed,
				removed.stream().filter((key) -> !this.rows.containsKey(key)).toList());
	}

	/**
	 * Adds or replaces a row. Equal values do not count as a change.
	 * @param key the key of the row
	 * @param value the row
	 */
	public void put(String key, V value) {
		Row<V> existing = this.rows.get(key);
		if (existing == null || !Objects.equals(existing.value(), value)) {
			this.rows.put(key, new Row<>(value, ++this.number));
		}
	}

	/**
	 * Removes all rows except those with the given keys.
	 * @param keys the keys of the rows to keep
	 */
	public void retain(Set<String> keys) {
		List<String> removedKeys = this.rows.keySet().stream().filter((key) -> !keys.contains(key)).toList();
		removedKeys.forEach((key) -> {
			this.rows.remove(key);
			this.removals.put(++this.number, key);
		});
		while (this.removals.size() > MAXIMUM_REMOVALS) {
			this.discardedUpToNumber = this.removals.pollFirstEntry().getKey();
		}
	}

	private record Row<V>(V value, long number) {
	}

}
