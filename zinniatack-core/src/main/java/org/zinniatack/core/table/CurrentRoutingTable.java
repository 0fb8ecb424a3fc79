package org.zinniatack.core.table;

import org.jspecify.annotations.Nullable;

/**
 * Holds the current routing table of the replicated state with the operator's document. A
 * new table replaces it only if its number is higher.
 */
public final class CurrentRoutingTable {

	/** The heap of a document and of the table that was read from it. */
	private static final int HEAP_PER_DOCUMENT_BYTE = 3;

	private @Nullable Image current;

	/**
	 * Restores the current table from its stored form.
	 * @param image the stored form, or null if no table was accepted yet
	 * @return the restored object
	 */
	public static CurrentRoutingTable of(@Nullable Image image) {
		CurrentRoutingTable restored = new CurrentRoutingTable();
		restored.current = image;
		return restored;
	}

	/**
	 * Replaces the current table if the new one has a higher number.
	 * @param table the new table
	 * @param document the document that the operator submitted
	 */
	public void replace(RoutingTable table, byte[] document) {
		Image previous = this.current;
		if (previous == null || table.number() > previous.table().number()) {
			this.current = new Image(table, document);
		}
	}

	/**
	 * Returns the heap that the table takes.
	 * @return the size, in bytes, 0 if no table was accepted yet
	 */
	public long heapBytes() {
		Image image = this.current;
		return (image != null) ? (long) HEAP_PER_DOCUMENT_BYTE * image.document().length : 0;
	}

	/**
	 * Returns the stored form.
	 * @return the table and its document, or null if none was accepted yet
	 */
	public @Nullable Image image() {
		return this.current;
	}

	/**
	 * A routing table with the document that it was read from.
	 *
	 * @param table the table
	 * @param document the operator's document, byte for byte
	 */
	public record Image(RoutingTable table, byte[] document) {
	}

}
