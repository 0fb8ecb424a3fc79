package org.zinniatack.gateway.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.PartialText;

/**
 * Finds stored outputs of the items of some jobs in all other jobs of the same customer.
 * It is built in one pass over all items, since a new leader reads all jobs at once.
 */
final class EarlierOutputs {

	private final Map<ItemKey, List<Job>> jobsByItem;

	private EarlierOutputs(Map<ItemKey, List<Job>> jobsByItem) {
		this.jobsByItem = jobsByItem;
	}

	/**
	 * Returns the outputs that all jobs hold for the unfinished items of some of them.
	 * @param wanted the jobs whose items are looked for
	 * @param all all jobs, oldest first
	 */
	static EarlierOutputs of(List<Job> wanted, List<Job> all) {
		Set<ItemKey> keys = new HashSet<>();
		for (Job job : wanted) {
			for (JobItem item : job.submission().items()) {
				if (!hasOutput(job, item)) {
					keys.add(ItemKey.of(job, item));
				}
			}
		}
		Map<ItemKey, List<Job>> jobsByItem = new HashMap<>();
		if (!keys.isEmpty()) {
			all.forEach((job) -> addOutputs(job, keys, jobsByItem));
		}
		return new EarlierOutputs(jobsByItem);
	}

	private static boolean hasOutput(Job job, JobItem item) {
		return job.isFinished(item.id()) || job.partialText(item.id()).isPresent();
	}

	private static void addOutputs(Job job, Set<ItemKey> keys, Map<ItemKey, List<Job>> jobsByItem) {
		for (JobItem item : job.submission().items()) {
			if (hasOutput(job, item)) {
				ItemKey key = ItemKey.of(job, item);
				if (keys.contains(key)) {
					jobsByItem.computeIfAbsent(key, (absent) -> new ArrayList<>()).add(job);
				}
			}
		}
	}

	/**
	 * Returns the oldest output of an item that another job holds and this one accepts.
	 */
	Optional<OpenJob.StoredOutput> find(Job job, String itemId) {
		if (this.jobsByItem.isEmpty()) {
			return Optional.empty();
		}
		return this.jobsByItem.getOrDefault(new ItemKey(job.submission().id().customer(), itemId), List.of())
			.stream()
			.filter((other) -> other != job)
			.flatMap((other) -> earlierOutput(other, itemId).stream())
			.filter((output) -> output.text().meetsOldestVersion(job.submission().oldestVersion()))
			.findFirst();
	}

	private static Optional<OpenJob.StoredOutput> earlierOutput(Job job, String itemId) {
		return job.result(itemId)
			.filter(ItemResult::completed)
			.map((result) -> new OpenJob.StoredOutput(new PartialText(List.of(result.text()), result.versions(), 0),
					true, false))
			.or(() -> job.partialText(itemId).map((text) -> new OpenJob.StoredOutput(text, false, false)));
	}

	private record ItemKey(String customer, String itemId) {

		static ItemKey of(Job job, JobItem item) {
			return new ItemKey(job.submission().id().customer(), item.id());
		}

	}

}
