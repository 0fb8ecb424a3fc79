package org.zinniatack.core.job;

import java.util.Comparator;

/**
 * The order in which waiting items get slots.
 */
public interface ItemOrder {

	/**
	 * Returns the order by the latest moment at which an item must begin to be done when
	 * its job is due. The longest items of all groups so begin first, since the last item
	 * decides when its group is whole; among equals the groups keep their order.
	 * @return the comparator
	 */
	static Comparator<WaitingItem> byLatestStart() {
		return Comparator.comparingDouble(WaitingItem::latestStartMs).thenComparing(byGroup());
	}

	/**
	 * Returns the order by job and group, which the other is measured against.
	 * @return the comparator
	 */
	static Comparator<WaitingItem> byGroup() {
		return Comparator.comparingLong(WaitingItem::dueAtMs)
			.thenComparing(WaitingItem::jobName)
			.thenComparingInt(WaitingItem::groupPosition)
			.thenComparingInt(WaitingItem::position);
	}

	/**
	 * An item that waits for a slot.
	 *
	 * @param jobName the caller's id of the job
	 * @param dueAtMs when the job is due, in milliseconds
	 * @param latestStartMs when the item must begin to be done by then, in milliseconds
	 * @param groupPosition the position of the first item of its group
	 * @param position its own position in the job
	 */
	record WaitingItem(String jobName, long dueAtMs, double latestStartMs, int groupPosition, int position) {
	}

}
