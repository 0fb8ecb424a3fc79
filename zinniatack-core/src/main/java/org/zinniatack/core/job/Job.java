package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An accepted job, the results of its items and the stored progress of the unfinished
 * ones. The position of a result never changes.
 */
public final class Job {

	private final JobSubmission submission;

	private final Map<String, JobItem> itemsById = new HashMap<>();

	private final Map<String, ItemResult> resultsById = new HashMap<>();

	private final List<ItemResult> results = new ArrayList<>();

	private final Map<String, PartialText> partialTexts = new LinkedHashMap<>();

	private boolean ended;

	Job(JobSubmission submission) {
		this.submission = submission;
		submission.items().forEach((item) -> this.itemsById.putIfAbsent(item.id(), item));
	}

	static Job of(Image image) {
		Job job = new Job(image.submission());
		image.results().forEach((result) -> job.addResult(result, 0));
		job.partialTexts.putAll(image.partialTexts());
		job.ended = image.ended();
		return job;
	}

	/**
	 * Adds a result, unless the item already has one or does not belong to this job.
	 * @param result the result, whose text continues after the stored events
	 * @param storedEvents the number of stored events to prepend to the text
	 */
	void addResult(ItemResult result, int storedEvents) {
		if (contains(result.itemId()) && !isFinished(result.itemId())) {
			PartialText stored = this.partialTexts.remove(result.itemId());
			ItemResult whole = (storedEvents == 0 || stored == null) ? result
					: result.withPrecedingEvents(stored.events().subList(0, storedEvents));
			this.results.add(whole);
			this.resultsById.put(whole.itemId(), whole);
		}
	}

	/**
	 * Returns whether at least this many events of an item are stored, or none are needed
	 * because it is finished or not of this job.
	 */
	boolean hasStored(String itemId, int storedEvents) {
		PartialText stored = this.partialTexts.get(itemId);
		return storedEvents == 0 || !this.itemsById.containsKey(itemId) || this.resultsById.containsKey(itemId)
				|| (stored != null && stored.events().size() >= storedEvents);
	}

	/**
	 * Returns whether progress continues the stored events of its item or starts over, or
	 * need not be stored because the item is finished or not of this job.
	 */
	boolean continuesStored(ItemProgress progress) {
		PartialText stored = this.partialTexts.get(progress.itemId());
		return progress.eventsBefore() == 0 || !isUnfinished(progress)
				|| (stored != null && stored.events().size() == progress.eventsBefore());
	}

	private boolean isUnfinished(ItemProgress progress) {
		return this.itemsById.containsKey(progress.itemId()) && !this.resultsById.containsKey(progress.itemId());
	}

	/** Stores progress that continues the stored events or starts over. */
	void storeProgress(ItemProgress progress) {
		if (isUnfinished(progress)) {
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
	 * @return true if no item of it may run any more
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether the job has not been ended and some items have no result yet.
	 * @return true if items remain to be run
	 */
	public boolean isOpen() {
		return !this.ended && this.resultsById.size() < this.itemsById.size();
	}

	/**
	 * Returns whether an item belongs to this job.
	 * @param itemId the id of the item
	 * @return true if it does
	 */
	public boolean contains(String itemId) {
		return this.itemsById.containsKey(itemId);
	}

	/**
	 * Returns whether an item has a result.
	 * @param itemId the id of the item
	 * @return true if it has one
	 */
	public boolean isFinished(String itemId) {
		return this.resultsById.containsKey(itemId);
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
		return Optional.ofNullable(this.resultsById.get(itemId));
	}

	/**
	 * Returns an item.
	 * @param itemId the id of the item
	 * @return the item, or empty if the job has none with this id
	 */
	public Optional<JobItem> item(String itemId) {
		return Optional.ofNullable(this.itemsById.get(itemId));
	}

	/**
	 * Returns the results from a position on.
	 * @param position the first position, from 0
	 * @param limitBytes the limit of output in the page, one byte per character; the
	 * first result is returned even if it alone exceeds the limit
	 * @return the results, empty if there are none from the position on
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
	 * @return the number of results, which is also the position of the next one
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
		 * Copies the arguments. Images stored by earlier versions have no partial texts
		 * and are read as having none.
		 */
		public Image {
			partialTexts = Map.copyOf(Objects.requireNonNullElse(partialTexts, Map.of()));
		}

	}

}
