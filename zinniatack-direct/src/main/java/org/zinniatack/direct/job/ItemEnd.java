package org.zinniatack.direct.job;

import org.zinniatack.core.job.ItemResult;

/**
 * How an item ended.
 *
 * @param run the item
 * @param result the result, whose text begins after the stored events
 * @param storedEvents how many events that are stored as progress come before its text
 */
record ItemEnd(ItemRun run, ItemResult result, int storedEvents) {

	static ItemEnd givenUp(ItemRun run) {
		return new ItemEnd(run, ItemResult.givenUp(run.item.id()), 0);
	}

}
