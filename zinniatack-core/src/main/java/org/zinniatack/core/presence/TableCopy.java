package org.zinniatack.core.presence;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A local copy of a table of another process, kept up to date by deltas. Not thread-safe.
 *
 * @param <V> the type of a row
 */
public final class TableCopy<V> {

	private final Map<String, V> rows = new HashMap<>();

	private TableVersion version = TableVersion.NONE;

	/**
	 * Applies changes. Changes that are outdated or do not follow on from the version of
	 * the copy are ignored; the other process learns the version from {@link #version()}
	 * and sends what is missing.
	 * @param changes the changes
	 */
	public void apply(TableChanges<V> changes) {
		boolean sameIncarnation = this.version.incarnation().equals(changes.incarnation());
		if (sameIncarnation && changes.number() < this.version.number()) {
			return;
		}
		if (changes.whole()) {
			this.rows.clear();
		}
		else if (!sameIncarnation || changes.baseNumber() > this.version.number()) {
			return;
		}
		changes.removed().forEach(this.rows::remove);
		this.rows.putAll(changes.changed());
		this.version = new TableVersion(changes.incarnation(), changes.number());
	}

	/**
	 * Returns the keys of all rows.
	 * @return the keys
	 */
	public Collection<String> keys() {
		return List.copyOf(this.rows.keySet());
	}

	/**
	 * Returns all rows.
	 * @return the rows
	 */
	public Collection<V> rows() {
		return List.copyOf(this.rows.values());
	}

	/**
	 * Returns the version of this copy.
	 * @return the version
	 */
	public TableVersion version() {
		return this.version;
	}

}
