package org.zinniatack.core.job;

import java.util.List;

/**
 * What became of an item. It never changes.
 *
 * @param itemId the id of the item
 * @param completed false if the item was given up
 * @param text the output, empty if the item was given up
 * @param versions the weight versions that made the output, in the order of their use
 * @param score the score, empty for none
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

	/** Returns the result with events before its text. */
	ItemResult withPrecedingEvents(List<String> events) {
		return new ItemResult(this.itemId, this.completed, String.join("\n", events) + '\n' + this.text, this.versions,
				this.score);
	}

}
