package org.zinniatack.core.table;

import org.jspecify.annotations.Nullable;

/**
 * The routing table in the replicated state, with the operator's text of it. A table
 * whose number is not higher than the one held changes nothing.
 */
public final class CurrentRoutingTable {

	private @Nullable Image held;

	/**
	 * Returns a holder from its stored form.
	 * @param image the stored form, or null for none
	 * @return the holder
	 */
	public static CurrentRoutingTable of(@Nullable Image image) {
		CurrentRoutingTable holder = new CurrentRoutingTable();
		holder.held = image;
		return holder;
	}

	/**
	 * Puts a table in force, unless one with the same or a higher number is.
	 * @param table the table
	 * @param document the operator's text of it
	 */
	public void replace(RoutingTable table, byte[] document) {
		Image current = this.held;
		if (current == null || table.number() > current.table().number()) {
			this.held = new Image(table, document);
		}
	}

	/**
	 * Returns the stored form.
	 * @return the table and its text, or null if none was accepted yet
	 */
	public @Nullable Image image() {
		return this.held;
	}

	/**
	 * A table with the operator's text of it.
	 *
	 * @param table the table
	 * @param document the operator's text, byte for byte
	 */
	public record Image(RoutingTable table, byte[] document) {
	}

}
