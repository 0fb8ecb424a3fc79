package org.zinniatack.direct.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.PartialText;

/**
 * A job of which something is still to run.
 *
 * @param submission the job as it was submitted
 * @param finishedIds the items that have results
 * @param stored what is stored of items without a result, by item
 */
record OpenJob(JobSubmission submission, Set<String> finishedIds, Map<String, Stored> stored) {

	/** Returns a job that the runner knows; only the runner itself gives it results. */
	static OpenJob known(Job job) {
		return new OpenJob(job.submission(), Set.of(), Map.of());
	}

	/**
	 * Returns a job with what is stored of its items. A trainer submits groups that were
	 * not whole in one job again in a later one, under the same ids.
	 * @param job the job
	 * @param others all jobs
	 */
	static OpenJob of(Job job, List<Job> others) {
		Set<String> finished = new HashSet<>();
		Map<String, Stored> stored = new HashMap<>();
		for (JobItem item : job.submission().items()) {
			if (job.isFinished(item.id())) {
				finished.add(item.id());
			}
			else {
				storedText(job, item.id(), others).ifPresent((text) -> stored.put(item.id(), text));
			}
		}
		return new OpenJob(job.submission(), finished, stored);
	}

	private static Optional<Stored> storedText(Job job, String itemId, List<Job> others) {
		Optional<PartialText> own = job.partialText(itemId);
		if (own.isPresent()) {
			return own.map((text) -> new Stored(text, false, true));
		}
		return others.stream()
			.filter((other) -> other != job && other.contains(itemId)
					&& other.submission().id().customer().equals(job.submission().id().customer()))
			.flatMap((other) -> earlierText(other, itemId).stream())
			.filter((text) -> text.text().meetsOldestVersion(job.submission().oldestVersion()))
			.findFirst();
	}

	private static Optional<Stored> earlierText(Job job, String itemId) {
		return job.result(itemId)
			.filter(ItemResult::completed)
			.map((result) -> new Stored(new PartialText(List.of(result.text()), result.versions(), 0), true, false))
			.or(() -> job.partialText(itemId).map((text) -> new Stored(text, false, false)));
	}

	/**
	 * What is stored of an item.
	 *
	 * @param text the events
	 * @param whole true if the output is whole and lacks only a score
	 * @param ofThisJob true if it is stored as progress of this job, false if of another
	 */
	record Stored(PartialText text, boolean whole, boolean ofThisJob) {
	}

}
