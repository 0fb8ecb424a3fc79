package org.zinniatack.gateway.job;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.job.JobItem;

/**
 * A job whose items become runs one after the other, so that a large job can be opened in
 * slices.
 */
final class OpeningJob {

	private final OpenJob job;

	private final Function<JobItem, ItemRun.Start> starts;

	private final Map<String, ItemRun> runs = new LinkedHashMap<>();

	private @Nullable ItemRun last;

	private int position;

	/**
	 * Returns a job without runs.
	 * @param job the job
	 * @param starts returns with what the run of an item starts
	 */
	OpeningJob(OpenJob job, Function<JobItem, ItemRun.Start> starts) {
		this.job = job;
		this.starts = starts;
	}

	OpenJob job() {
		return this.job;
	}

	/** Returns the runs so far by item id, a view that grows. */
	Map<String, ItemRun> runs() {
		return this.runs;
	}

	boolean isComplete() {
		return this.position == this.job.submission().items().size();
	}

	/**
	 * Opens the next items.
	 * @param maximumCount the maximum number of items
	 * @param waiting accepts the items that have no result yet
	 * @return the number of items
	 */
	int openNext(int maximumCount, Consumer<ItemRun> waiting) {
		int count = 0;
		for (; count < maximumCount && !isComplete(); count++) {
			ItemRun run = next(this.job.submission().items().get(this.position));
			if (run.phase == ItemRun.Phase.WAITING) {
				waiting.accept(run);
			}
		}
		return count;
	}

	private ItemRun next(JobItem item) {
		ItemRun before = this.last;
		boolean sameGroup = before != null && !item.group().isEmpty() && before.item.group().equals(item.group());
		ItemRun run = new ItemRun(this.job.submission(), item, this.position,
				sameGroup ? before.groupPosition : this.position, this.starts.apply(item));
		OpenJob.StoredOutput stored = this.job.stored().get(item.id());
		if (stored != null) {
			run.restore(stored);
		}
		if (this.job.finishedIds().contains(item.id())) {
			run.phase = ItemRun.Phase.FINISHED;
		}
		ItemRun replaced = this.runs.put(item.id(), run);
		if (replaced != null) {
			replaced.phase = ItemRun.Phase.FINISHED;
		}
		this.last = run;
		this.position++;
		return run;
	}

}
