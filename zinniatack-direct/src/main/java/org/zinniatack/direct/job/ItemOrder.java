package org.zinniatack.direct.job;

import java.util.Comparator;

/**
 * The order in which waiting items get slots: the job that is due first, then the groups
 * in the order of their job, so that whole groups are ready early, and the longest items
 * of a group first, since the last item decides when its group is whole.
 */
final class ItemOrder {

	private ItemOrder() {
	}

	static Comparator<ItemRun> byGroup() {
		return Comparator.comparingLong((ItemRun run) -> run.job.submittedAtMs() + run.job.deadlineMs())
			.thenComparing((run) -> run.job.id().name())
			.thenComparingInt((run) -> groupPosition(run))
			.thenComparing(Comparator.comparingLong((ItemRun run) -> run.item.expectedTokens()).reversed())
			.thenComparingInt((run) -> run.position);
	}

	/** Returns the position of the first item of the group. */
	private static int groupPosition(ItemRun run) {
		String group = run.item.group();
		if (group.isEmpty()) {
			return run.position;
		}
		int first = run.position;
		while (first > 0 && run.job.items().get(first - 1).group().equals(group)) {
			first--;
		}
		return first;
	}

}
