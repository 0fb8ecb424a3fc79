package org.zinniatack.core.job;

import java.util.List;

/**
 * A job as the caller submitted it.
 *
 * @param id the id
 * @param host the host that selects the route of its items
 * @param model the model that generates its items
 * @param oldestVersion the oldest weight version that may generate its items
 * @param submittedAtMs the time of the first submission, in milliseconds since the epoch
 * @param deadlineMs the time after the submission at which all results are due, in
 * milliseconds
 * @param itemLifetimeMs the time after the submission at which an item may be given up,
 * in milliseconds
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
