package org.zinniatack.gateway.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.PartialText;

/**
 * A job that is not finished, with the stored outputs of its items.
 *
 * @param submission the submission
 * @param finishedIds the ids of items that have results
 * @param stored the stored outputs of items without a result, by item id
 */
record OpenJob(JobSubmission submission, Set<String> finishedIds, Map<String, StoredOutput> stored) {

	/**
	 * Returns a job that the runner knows already. The stored state is left out, since
	 * only the runner itself adds results to the job.
	 */
	static OpenJob known(Job job) {
		return new OpenJob(job.submission(), Set.of(), Map.of());
	}

	/**
	 * Returns a job with the stored outputs of its items, including those from earlier
	 * jobs: a trainer resubmits groups that one job did not complete in a later job,
	 * under the same ids.
	 * @param job the job
	 * @param earlier the outputs of other jobs
	 */
	static OpenJob of(Job job, EarlierOutputs earlier) {
		Set<String> finished = new HashSet<>();
		Map<String, StoredOutput> stored = new HashMap<>();
		for (JobItem item : job.submission().items()) {
			if (job.isFinished(item.id())) {
				finished.add(item.id());
			}
			else {
				storedOutput(job, item.id(), earlier).ifPresent((text) -> stored.put(item.id(), text));
			}
		}
		return new OpenJob(job.submission(), finished, stored);
	}

	private static Optional<StoredOutput> storedOutput(Job job, String itemId, EarlierOutputs earlier) {
		Optional<PartialText> own = job.partialText(itemId);
		return own.isPresent() ? own.map((text) -> new StoredOutput(text, false, true)) : earlier.find(job, itemId);
	}

	/**
	 * The stored output of an item.
	 *
	 * @param text the events of the output
	 * @param complete true if the output is complete and lacks only a score
	 * @param ofThisJob true if it is progress of this job, false if it is from another
	 * job
	 */
	record StoredOutput(PartialText text, boolean complete, boolean ofThisJob) {
	}

}
