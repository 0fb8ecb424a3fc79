package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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

	private final Map<String, PartialText> partialTexts = new LinkedHashMap<>();

	private boolean ended;

	Job(JobSubmission submission) {
		this.submission = submission;
		submission.items().forEach((item) -> this.itemIds.add(item.id()));
	}

	static Job of(Image image) {
		Job job = new Job(image.submission());
		image.results().forEach((result) -> job.addResult(result, 0));
		job.partialTexts.putAll(image.partialTexts());
		job.ended = image.ended();
		return job;
	}

	/**
	 * Adds a result, unless the item has one or is not of this job.
	 * @param result the result, whose text begins after the stored events
	 * @param storedEvents how many events of the item's progress come before its text
	 */
	void addResult(ItemResult result, int storedEvents) {
		if (this.itemIds.contains(result.itemId()) && this.finishedIds.add(result.itemId())) {
			PartialText stored = this.partialTexts.remove(result.itemId());
			this.results.add((storedEvents == 0 || stored == null) ? result
					: result.withPrecedingEvents(stored.events().subList(0, storedEvents)));
		}
	}

	/**
	 * Returns whether so many events of an item are stored, or it has a result anyway.
	 */
	boolean hasStored(String itemId, int storedEvents) {
		PartialText stored = this.partialTexts.get(itemId);
		return storedEvents == 0 || !this.itemIds.contains(itemId) || this.finishedIds.contains(itemId)
				|| (stored != null && stored.events().size() >= storedEvents);
	}

	/**
	 * Returns whether progress goes on from what is stored of its item, or needs no
	 * storing, since the item has a result.
	 */
	boolean continuesStored(ItemProgress progress) {
		PartialText stored = this.partialTexts.get(progress.itemId());
		return progress.eventsBefore() == 0 || !isWanted(progress)
				|| (stored != null && stored.events().size() == progress.eventsBefore());
	}

	private boolean isWanted(ItemProgress progress) {
		return this.itemIds.contains(progress.itemId()) && !this.finishedIds.contains(progress.itemId());
	}

	/** Stores progress that follows what is stored, or that begins again. */
	void storeProgress(ItemProgress progress) {
		if (isWanted(progress)) {
			PartialText stored = this.partialTexts.get(progress.itemId());
			this.partialTexts.put(progress.itemId(), (progress.eventsBefore() == 0 || stored == null)
					? progress.further() : stored.append(progress.further()));
		}
	}

	void end() {
		this.ended = true;
	}

	Image image() {
		return new Image(this.submission, List.copyOf(this.results), this.ended, Map.copyOf(this.partialTexts));
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
	 * Returns whether an item is of this job.
	 * @param itemId the id of the item
	 * @return true if it is
	 */
	public boolean contains(String itemId) {
		return this.itemIds.contains(itemId);
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
	 * Returns the stored progress of an item that has no result.
	 * @param itemId the id of the item
	 * @return its first events, or empty if none are stored
	 */
	public Optional<PartialText> partialText(String itemId) {
		return Optional.ofNullable(this.partialTexts.get(itemId));
	}

	/**
	 * Returns the result of an item.
	 * @param itemId the id of the item
	 * @return the result, or empty if it has none
	 */
	public Optional<ItemResult> result(String itemId) {
		return this.results.stream().filter((result) -> result.itemId().equals(itemId)).findFirst();
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
	 * @param partialTexts the stored progress by item
	 */
	public record Image(JobSubmission submission, List<ItemResult> results, boolean ended,
			Map<String, PartialText> partialTexts) {

		/**
		 * Takes an image without progress, as earlier versions stored it, for one with
		 * none.
		 */
		public Image {
			partialTexts = Map.copyOf(Objects.requireNonNullElse(partialTexts, Map.of()));
		}

	}

}
