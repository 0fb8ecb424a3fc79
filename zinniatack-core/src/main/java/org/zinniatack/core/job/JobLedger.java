package org.zinniatack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Replicated record of the jobs of all customers, in order of acceptance.
 */
public final class JobLedger {

	private final Map<JobId, Job> jobs = new LinkedHashMap<>();

	private JobSize size = JobSize.ZERO;

	/**
	 * Restores a ledger from its stored form.
	 * @param images the stored jobs, oldest first
	 * @return the ledger
	 */
	public static JobLedger of(List<Job.Image> images) {
		JobLedger ledger = new JobLedger();
		images.forEach((image) -> ledger.add(Job.of(image)));
		return ledger;
	}

	private void add(Job job) {
		Job replaced = this.jobs.put(job.submission().id(), job);
		this.size = this.size.plus(job.size()).minus((replaced != null) ? replaced.size() : JobSize.ZERO);
	}

	private void change(Job job, Consumer<Job> change) {
		JobSize before = job.size();
		change.accept(job);
		this.size = this.size.minus(before).plus(job.size());
	}

	/**
	 * Accepts a job. A job with an id that is already known is ignored.
	 * @param submission the job
	 */
	public void submit(JobSubmission submission) {
		if (!this.jobs.containsKey(submission.id())) {
			add(new Job(submission));
		}
	}

	/**
	 * Adds results to a job; results of an unknown job are ignored.
	 * @param id the job
	 * @param results the results, which take the next positions in this order
	 */
	public void addResults(JobId id, List<ItemResult> results) {
		job(id).ifPresent((job) -> change(job, (known) -> results.forEach((result) -> known.addResult(result, 0))));
	}

	/**
	 * Adds all of the results to a job, or none of them; results of an unknown job are
	 * ignored.
	 * @param id the job
	 * @param results the results, which take the next positions in this order
	 * @param storedEvents the number of stored events that precede the text of a result,
	 * by item id; items without an entry have none
	 * @throws ServiceException with {@link ResultCode#REVISION_CONFLICT} if some of these
	 * events are not stored
	 */
	public void addResults(JobId id, List<ItemResult> results, Map<String, Integer> storedEvents)
			throws ServiceException {
		Optional<Job> job = job(id);
		if (job.isPresent() && !storedEvents.entrySet()
			.stream()
			.allMatch((stored) -> job.get().hasStored(stored.getKey(), stored.getValue()))) {
			throw ServiceException.of(ResultCode.REVISION_CONFLICT,
					"a result continues item events that are not stored");
		}
		job.ifPresent((known) -> change(known, (changed) -> results
			.forEach((result) -> changed.addResult(result, storedEvents.getOrDefault(result.itemId(), 0)))));
	}

	/**
	 * Stores the progress of all given items of a job, or of none; progress of an unknown
	 * job is ignored.
	 * @param id the job
	 * @param progress the new events of the items
	 * @throws ServiceException with {@link ResultCode#REVISION_CONFLICT} if some progress
	 * does not continue the stored events of its item
	 */
	public void storeProgress(JobId id, List<ItemProgress> progress) throws ServiceException {
		Optional<Job> job = job(id);
		if (job.isPresent() && !progress.stream().allMatch(job.get()::continuesStored)) {
			throw ServiceException.of(ResultCode.REVISION_CONFLICT,
					"progress does not continue the stored events of its item");
		}
		job.ifPresent((known) -> change(known, (changed) -> progress.forEach(changed::storeProgress)));
	}

	/**
	 * Ends a job at the request of its caller. Its results are kept.
	 * @param id the job
	 */
	public void end(JobId id) {
		job(id).ifPresent((job) -> change(job, Job::end));
	}

	/**
	 * Removes jobs and their results.
	 * @param ids the jobs
	 */
	public void removeJobs(Collection<JobId> ids) {
		for (JobId id : ids) {
			Job removed = this.jobs.remove(id);
			this.size = this.size.minus((removed != null) ? removed.size() : JobSize.ZERO);
		}
	}

	/**
	 * Returns the heap that all jobs take and are expected to take.
	 * @return the size
	 */
	public JobSize size() {
		return this.size;
	}

	/**
	 * Returns when the removal of jobs may have freed some bytes, if their callers end
	 * them.
	 * @param neededBytes the bytes to be freed
	 * @param retention decides when a job may be removed
	 * @return the time in milliseconds since the epoch, or empty if all jobs take less
	 */
	public OptionalLong freedAtMs(long neededBytes, JobRetentionPolicy retention) {
		long freedBytes = 0;
		for (Job job : this.jobs.values()
			.stream()
			.sorted(Comparator.comparingLong(retention::removableOnceEndedAtMs))
			.toList()) {
			freedBytes += job.size().storedBytes() + this.size.corrected(job.size().awaitedBytes());
			if (freedBytes >= neededBytes) {
				return OptionalLong.of(retention.removableOnceEndedAtMs(job));
			}
		}
		return OptionalLong.empty();
	}

	/**
	 * Returns a job.
	 * @param id the job
	 * @return the job, which only the ledger may modify, or empty if it is unknown
	 */
	public Optional<Job> job(JobId id) {
		return Optional.ofNullable(this.jobs.get(id));
	}

	/**
	 * Returns all jobs.
	 * @return the jobs, oldest first, which only the ledger may modify
	 */
	public List<Job> jobs() {
		return List.copyOf(this.jobs.values());
	}

	/**
	 * Returns the stored form.
	 * @return the stored jobs, oldest first
	 */
	public List<Job.Image> images() {
		return this.jobs.values().stream().map(Job::image).toList();
	}

}
