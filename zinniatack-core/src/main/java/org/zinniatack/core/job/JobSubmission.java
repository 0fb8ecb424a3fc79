package org.zinniatack.core.job;

import java.util.List;

/**
 * A job as the caller submitted it.
 *
 * @param id the id of the job
 * @param host the host name that selects the route of the items
 * @param model the model that generates the items
 * @param oldestVersion the oldest weight version that may generate an item
 * @param submittedAtMs the time of the first submission, in milliseconds since the epoch
 * @param deadlineMs the time from the submission until all results are due, in
 * milliseconds
 * @param itemLifetimeMs the time from the submission until an unfinished item may be
 * given up, in milliseconds
 * @param items the items
 */
public record JobSubmission(JobId id, String host, String model, long oldestVersion, long submittedAtMs,
		long deadlineMs, long itemLifetimeMs, List<JobItem> items) {

	/**
	 * Copies the arguments.
	 */
	public JobSubmission {
		items = List.copyOf(items);
	}

}
