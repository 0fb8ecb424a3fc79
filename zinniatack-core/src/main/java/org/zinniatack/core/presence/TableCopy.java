package org.zinniatack.core.presence;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A copy of a table that another process holds. It belongs to one thread at a time.
 *
 * @param <V> the type of a row
 */
public final class TableCopy<V> {

	private final Map<String, V> rows = new HashMap<>();

	private TableVersion version = TableVersion.NONE;

	/**
	 * Takes changes over. Changes that do not build on what the copy has are passed over;
	 * the version of the copy tells the other process so.
	 * @param changes the changes
	 */
	public void apply(TableChanges<V> changes) {
		boolean same = this.version.incarnation().equals(changes.incarnation());
		if (same && changes.number() < this.version.number()) {
			return;
		}
		if (changes.whole()) {
			this.rows.clear();
		}
		else if (!same || changes.baseNumber() > this.version.number()) {
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
	 * Returns the version that this copy has.
	 * @return the version
	 */
	public TableVersion version() {
		return this.version;
	}

}
