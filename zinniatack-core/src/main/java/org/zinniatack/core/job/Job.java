package org.zinniatack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.size.HeapSize;

/**
 * An accepted job, the results of its items and the stored progress of the unfinished
 * ones. The position of a result never changes.
 */
public final class Job {

	private static final int FIXED_OBJECTS = 16;

	private final JobSubmission submission;

	private final Map<String, Slot> slots;

	private final List<ItemResult> results = new ArrayList<>();

	private JobSize size = JobSize.ZERO;

	private long partialBytes;

	private boolean ended;

	/** The log index of the submission or the end, whichever is later. */
	private long lastCallIndex;

	Job(JobSubmission submission, long index) {
		this.submission = submission;
		this.lastCallIndex = index;
		this.slots = new HashMap<>(submission.items().size() * 4 / 3 + 1);
		submission.items().forEach((item) -> {
			if (this.slots.putIfAbsent(item.id(), new Slot(item)) == null) {
				addBytes(item.heapBytes() + HeapSize.MAP_ENTRY_BYTES + HeapSize.OBJECT_BYTES,
						item.estimatedOutputBytes());
			}
		});
		addBytes(HeapSize.OBJECT_BYTES * FIXED_OBJECTS, 0);
	}

	/**
	 * Returns the heap that a job would take and is expected to take.
	 * @param submission the job
	 * @return the size
	 */
	public static JobSize sizeOf(JobSubmission submission) {
		return new Job(submission, 0).size();
	}

	static Job of(Image image) {
		Job job = new Job(image.submission(), image.lastCallIndex());
		image.results().forEach((result) -> job.addResult(result, 0));
		image.partialTexts().forEach(job::storePartialText);
		job.ended = image.ended();
		return job;
	}

	private void addBytes(long storedBytes, long awaitedBytes) {
		this.size = this.size.plus(new JobSize(storedBytes, awaitedBytes, 0, 0));
	}

	/**
	 * Returns the heap that the job takes and is expected to take.
	 * @return the size; a job that was ended is expected to take no more
	 */
	public JobSize size() {
		long awaitedBytes = this.ended ? 0 : Math.max(0, this.size.awaitedBytes() - this.partialBytes);
		return new JobSize(this.size.storedBytes(), awaitedBytes, this.size.outputBytes(), this.size.estimatedBytes());
	}

	/**
	 * Adds a result, unless the item already has one or does not belong to this job.
	 * @param result the result, whose text continues after the stored events
	 * @param storedEvents the number of stored events to prepend to the text
	 */
	void addResult(ItemResult result, int storedEvents) {
		Slot slot = this.slots.get(result.itemId());
		if (slot != null && slot.result == null) {
			PartialText stored = slot.partialText;
			storePartialText(slot, null);
			ItemResult complete = (storedEvents == 0 || stored == null) ? result
					: result.withPrecedingEvents(stored.events().subList(0, storedEvents));
			slot.result = complete.withItemId(slot.item.id());
			this.results.add(slot.result);
			long bytes = slot.result.heapBytes();
			long estimatedBytes = slot.item.estimatedOutputBytes();
			this.size = this.size.plus(new JobSize(bytes, -estimatedBytes, bytes, estimatedBytes));
		}
	}

	/**
	 * Returns whether at least this many events of an item are stored, or none are needed
	 * because it is finished or not of this job.
	 */
	boolean hasStored(String itemId, int storedEvents) {
		Slot slot = this.slots.get(itemId);
		return storedEvents == 0 || slot == null || slot.result != null || slot.hasStored(storedEvents);
	}

	/**
	 * Returns whether progress continues the stored events of its item or starts over, or
	 * need not be stored because the item is finished or not of this job.
	 */
	boolean continuesStored(ItemProgress progress) {
		Slot slot = this.slots.get(progress.itemId());
		return progress.eventsBefore() == 0 || slot == null || slot.result != null
				|| (slot.partialText != null && slot.partialText.events().size() == progress.eventsBefore());
	}

	/** Stores progress that continues the stored events or starts over. */
	void storeProgress(ItemProgress progress) {
		Slot slot = this.slots.get(progress.itemId());
		if (slot != null && slot.result == null) {
			PartialText stored = slot.partialText;
			storePartialText(slot, (progress.eventsBefore() == 0 || stored == null) ? progress.further()
					: stored.append(progress.further()));
		}
	}

	private void storePartialText(String itemId, PartialText text) {
		Slot slot = this.slots.get(itemId);
		if (slot != null && slot.result == null) {
			storePartialText(slot, text);
		}
	}

	private void storePartialText(Slot slot, @Nullable PartialText text) {
		long bytes = ((text != null) ? text.heapBytes() : 0)
				- ((slot.partialText != null) ? slot.partialText.heapBytes() : 0);
		slot.partialText = text;
		this.partialBytes += bytes;
		addBytes(bytes, 0);
	}

	void end(long index) {
		this.ended = true;
		this.lastCallIndex = index;
	}

	/**
	 * Returns the log index of the last command of its caller that changed the job.
	 * @return the index, 0 if an earlier version stored the job
	 */
	public long lastCallIndex() {
		return this.lastCallIndex;
	}

	Image image() {
		Map<String, PartialText> partialTexts = new HashMap<>();
		this.slots.forEach((itemId, slot) -> {
			if (slot.partialText != null) {
				partialTexts.put(itemId, slot.partialText);
			}
		});
		return new Image(this.submission, List.copyOf(this.results), this.ended, partialTexts, this.lastCallIndex);
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
		return !this.ended && this.results.size() < this.slots.size();
	}

	/**
	 * Returns whether an item belongs to this job.
	 * @param itemId the id of the item
	 * @return true if it does
	 */
	public boolean contains(String itemId) {
		return this.slots.containsKey(itemId);
	}

	/**
	 * Returns whether an item has a result.
	 * @param itemId the id of the item
	 * @return true if it has one
	 */
	public boolean isFinished(String itemId) {
		return result(itemId).isPresent();
	}

	/**
	 * Returns the stored progress of an item that has no result.
	 * @param itemId the id of the item
	 * @return its first events, or empty if none are stored
	 */
	public Optional<PartialText> partialText(String itemId) {
		return slot(itemId).map((slot) -> slot.partialText);
	}

	/**
	 * Returns the result of an item.
	 * @param itemId the id of the item
	 * @return the result, or empty if it has none
	 */
	public Optional<ItemResult> result(String itemId) {
		return slot(itemId).map((slot) -> slot.result);
	}

	/**
	 * Returns an item.
	 * @param itemId the id of the item
	 * @return the item, or empty if the job has none with this id
	 */
	public Optional<JobItem> item(String itemId) {
		return slot(itemId).map((slot) -> slot.item);
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

	private Optional<Slot> slot(String itemId) {
		return Optional.ofNullable(this.slots.get(itemId));
	}

	/** An item with what is stored of its output. */
	private static final class Slot {

		private final JobItem item;

		private @Nullable ItemResult result;

		private @Nullable PartialText partialText;

		Slot(JobItem item) {
			this.item = item;
		}

		boolean hasStored(int events) {
			return this.partialText != null && this.partialText.events().size() >= events;
		}

	}

	/**
	 * The stored form of a job.
	 *
	 * @param submission the job as it was submitted
	 * @param results the results by position
	 * @param ended true if the caller has ended the job
	 * @param partialTexts the stored progress by item
	 * @param lastCallIndex the log index of the last command of its caller that changed
	 * the job, 0 if an earlier version stored it
	 */
	public record Image(JobSubmission submission, List<ItemResult> results, boolean ended,
			Map<String, PartialText> partialTexts, long lastCallIndex) {

		/**
		 * Copies the arguments. Images stored by earlier versions have no partial texts
		 * and are read as having none.
		 */
		public Image {
			partialTexts = Map.copyOf(Objects.requireNonNullElse(partialTexts, Map.of()));
		}

	}

}
