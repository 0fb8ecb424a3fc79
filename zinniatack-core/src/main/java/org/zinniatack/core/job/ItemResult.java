package org.zinniatack.core.job;

import java.util.List;

import org.zinniatack.core.size.HeapSize;

/**
 * The final result of an item, immutable once it is stored.
 *
 * @param itemId the id of the item
 * @param completed false if the item was given up
 * @param text the output, empty if the item was given up
 * @param versions the weight versions that generated the output, in order of use
 * @param score the score, empty if the item has none
 */
public record ItemResult(String itemId, boolean completed, String text, List<Long> versions, String score) {

	/**
	 * Copies the arguments.
	 */
	public ItemResult {
		versions = List.copyOf(versions);
	}

	/**
	 * Returns the result of an item that was given up.
	 * @param itemId the id of the item
	 * @return the result
	 */
	public static ItemResult givenUp(String itemId) {
		return new ItemResult(itemId, false, "", List.of(), "");
	}

	/** Returns the result with the id of its item, of which one copy is enough. */
	ItemResult withItemId(String sameId) {
		return new ItemResult(sameId, this.completed, this.text, this.versions, this.score);
	}

	/** Returns the heap that the result takes, in bytes. */
	long heapBytes() {
		return 2 * HeapSize.OBJECT_BYTES + HeapSize.of(this.text) + HeapSize.of(this.score)
				+ HeapSize.OBJECT_BYTES * this.versions.size();
	}

	/** Returns the result with the given events prepended to its text. */
	ItemResult withPrecedingEvents(List<String> events) {
		return new ItemResult(this.itemId, this.completed, String.join("\n", events) + '\n' + this.text, this.versions,
				this.score);
	}

}
