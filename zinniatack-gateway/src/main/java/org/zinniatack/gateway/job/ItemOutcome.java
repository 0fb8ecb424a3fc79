package org.zinniatack.gateway.job;

import org.zinniatack.core.job.ItemResult;

/**
 * The result of an item together with its run.
 *
 * @param run the run of the item
 * @param result the result, whose text starts after the stored events
 * @param storedEventCount the number of events before the text that are stored as
 * progress
 */
record ItemOutcome(ItemRun run, ItemResult result, int storedEventCount) {

	static ItemOutcome givenUp(ItemRun run) {
		return new ItemOutcome(run, ItemResult.givenUp(run.item.id()), 0);
	}

}
