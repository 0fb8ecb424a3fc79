package org.zinniatack.core.job;

import java.util.Comparator;

/**
 * Orders in which waiting items are assigned to slots.
 */
public interface ItemOrder {

	/**
	 * Orders items by the latest time at which they can start and still finish before the
	 * deadline of their job. The longest items of all groups start first, because a group
	 * is complete only when its last item is. Ties are broken by job and group.
	 * @return the comparator
	 */
	static Comparator<WaitingItem> byLatestStart() {
		return Comparator.comparingDouble(WaitingItem::latestStartMs).thenComparing(byGroup());
	}

	/**
	 * Orders items by job and group, as a baseline for {@link #byLatestStart()}.
	 * @return the comparator
	 */
	static Comparator<WaitingItem> byGroup() {
		return Comparator.comparingLong(WaitingItem::dueAtMs)
			.thenComparing(WaitingItem::jobName)
			.thenComparingInt(WaitingItem::groupPosition)
			.thenComparingInt(WaitingItem::position);
	}

	/**
	 * An item that is waiting for a slot.
	 *
	 * @param jobName the caller's id of the job
	 * @param dueAtMs the deadline of the job, in milliseconds
	 * @param latestStartMs the latest start that meets the deadline, in milliseconds
	 * @param groupPosition the position of the first item of its group
	 * @param position the position of the item in the job
	 */
	record WaitingItem(String jobName, long dueAtMs, double latestStartMs, int groupPosition, int position) {
	}

}
