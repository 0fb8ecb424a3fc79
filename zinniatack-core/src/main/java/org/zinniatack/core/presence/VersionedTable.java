package org.zinniatack.core.presence;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * A table that numbers its changes. It belongs to one thread at a time.
 *
 * @param <V> the type of a row, compared with equals
 */
public final class VersionedTable<V> {

	private static final int REMOVALS_KEPT = 4_096;

	private final String incarnation;

	private final Map<String, Row<V>> rows = new HashMap<>();

	private final TreeMap<Long, String> removals = new TreeMap<>();

	private long number;

	private long forgottenNumber;

	private VersionedTable(String incarnation) {
		this.incarnation = incarnation;
	}

	/**
	 * Returns an empty table.
	 * @param <V> the type of a row
	 * @param incarnation an id that no other table has had
	 * @return the table
	 */
	public static <V> VersionedTable<V> of(String incarnation) {
		if (incarnation.isEmpty()) {
			throw new IllegalArgumentException("incarnation must not be empty");
		}
		return new VersionedTable<>(incarnation);
	}

	/**
	 * Returns what a copy lacks.
	 * @param known the version of the copy
	 * @return the changes since, or the whole table if they are not known one by one
	 */
	public TableChanges<V> changesAfter(TableVersion known) {
		boolean follows = known.incarnation().equals(this.incarnation) && known.number() >= this.forgottenNumber
				&& known.number() <= this.number;
		long base = follows ? known.number() : 0;
		Map<String, V> changed = new HashMap<>();
		this.rows.forEach((key, row) -> {
			if (!follows || row.number() > base) {
				changed.put(key, row.value());
			}
		});
		List<String> removed = follows ? List.copyOf(Set.copyOf(this.removals.tailMap(base, false).values()))
				: List.of();
		return new TableChanges<>(this.incarnation, !follows, base, this.number, changed,
				removed.stream().filter((key) -> !this.rows.containsKey(key)).toList());
	}

	/**
	 * Enters a row; an equal one changes nothing.
	 * @param key the key
	 * @param value the row
	 */
	public void put(String key, V value) {
		Row<V> held = this.rows.get(key);
		if (held == null || !Objects.equals(held.value(), value)) {
			this.rows.put(key, new Row<>(value, ++this.number));
		}
	}

	/**
	 * Removes all rows but those of the given keys.
	 * @param keys the keys that stay
	 */
	public void retain(Set<String> keys) {
		List<String> gone = this.rows.keySet().stream().filter((key) -> !keys.contains(key)).toList();
		gone.forEach((key) -> {
			this.rows.remove(key);
			this.removals.put(++this.number, key);
		});
		while (this.removals.size() > REMOVALS_KEPT) {
			this.forgottenNumber = this.removals.pollFirstEntry().getKey();
		}
	}

	private record Row<V>(V value, long number) {
	}

}
