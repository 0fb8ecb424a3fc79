package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * An accepted job with the results so far. A result keeps its position.
 */
public final class Job {

	private final JobSubmission submission;

	private final Set<String> itemIds = new HashSet<>();

	private final Set<String> finishedIds = new HashSet<>();

	private final List<ItemResult> results = new ArrayList<>();

	private boolean ended;

	Job(JobSubmission submission) {
		this.submission = submission;
		submission.items().forEach((item) -> this.itemIds.add(item.id()));
	}

	static Job of(Image image) {
		Job job = new Job(image.submission());
		image.results().forEach(job::finish);
		job.ended = image.ended();
		return job;
	}

	/** Adds a result, unless the item has one or is not of this job. */
	void finish(ItemResult result) {
		if (this.itemIds.contains(result.itemId()) && this.finishedIds.add(result.itemId())) {
			this.results.add(result);
		}
	}

	void end() {
		this.ended = true;
	}

	Image image() {
		return new Image(this.submission, List.copyOf(this.results), this.ended);
	}

	/**
	 * Returns whether the caller has ended the job.
	 * @return true if nothing of it is to run
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether some items have no result yet and are wanted.
	 * @return true if something of it is to run
	 */
	public boolean isOpen() {
		return !this.ended && this.finishedIds.size() < this.itemIds.size();
	}

	/**
	 * Returns whether an item has a result.
	 * @param itemId the id of the item
	 * @return true if it has one
	 */
	public boolean isFinished(String itemId) {
		return this.finishedIds.contains(itemId);
	}

	/**
	 * Returns an item.
	 * @param itemId the id of the item
	 * @return the item, or empty if the job has none with this id
	 */
	public Optional<JobItem> item(String itemId) {
		return this.submission.items().stream().filter((item) -> item.id().equals(itemId)).findFirst();
	}

	/**
	 * Returns the results from a position on.
	 * @param position the first position, from 0
	 * @param limitBytes the largest number of bytes of output, unless one result alone
	 * has more
	 * @return the results
	 */
	public List<ItemResult> resultsFrom(int position, long limitBytes) {
		List<ItemResult> page = new ArrayList<>();
		long bytes = 0;
		for (ItemResult result : this.results.subList(Math.min(position, this.results.size()), this.results.size())) {
			bytes += result.text().length();
			if (!page.isEmpty() && bytes > limitBytes) {
				break;
			}
			page.add(result);
		}
		return page;
	}

	/**
	 * Returns the number of results so far.
	 * @return the number of positions that are taken
	 */
	public int resultCount() {
		return this.results.size();
	}

	/**
	 * Returns the job as it was submitted.
	 * @return the submission
	 */
	public JobSubmission submission() {
		return this.submission;
	}

	/**
	 * The stored form of a job.
	 *
	 * @param submission the job as it was submitted
	 * @param results the results by position
	 * @param ended true if the caller has ended the job
	 */
	public record Image(JobSubmission submission, List<ItemResult> results, boolean ended) {
	}

}
