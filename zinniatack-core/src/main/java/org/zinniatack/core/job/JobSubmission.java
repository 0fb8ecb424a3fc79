package org.zinniatack.core.job;

import java.util.List;
import java.util.stream.IntStream;

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

	/**
	 * Returns whether another submission of the same name asks for the same, whoever sent
	 * it and when.
	 * @param other the other submission
	 * @return true if it does
	 */
	boolean hasSameContent(JobSubmission other) {
		return this.id.name().equals(other.id.name()) && this.host.equals(other.host) && this.model.equals(other.model)
				&& this.oldestVersion == other.oldestVersion && this.items.size() == other.items.size()
				&& IntStream.range(0, this.items.size())
					.allMatch((index) -> this.items.get(index).hasSameContent(other.items.get(index)));
	}

}
