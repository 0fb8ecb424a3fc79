package org.zinniatack.core.job;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The jobs of all customers in the order of their acceptance.
 */
public final class JobLedger {

	private final Map<JobId, Job> jobs = new LinkedHashMap<>();

	/**
	 * Returns a ledger from its stored form.
	 * @param images the stored jobs
	 * @return the ledger
	 */
	public static JobLedger of(List<Job.Image> images) {
		JobLedger ledger = new JobLedger();
		images.forEach((image) -> ledger.jobs.put(image.submission().id(), Job.of(image)));
		return ledger;
	}

	/**
	 * Accepts a job, unless it is already accepted.
	 * @param submission the job
	 */
	public void submit(JobSubmission submission) {
		this.jobs.computeIfAbsent(submission.id(), (absent) -> new Job(submission));
	}

	/**
	 * Adds results to a job that is known.
	 * @param id the job
	 * @param results the results, which take the next positions in this order
	 */
	public void addResults(JobId id, List<ItemResult> results) {
		job(id).ifPresent((job) -> results.forEach((result) -> job.addResult(result, 0)));
	}

	/**
	 * Adds results to a job that is known, all or none.
	 * @param id the job
	 * @param results the results, which take the next positions in this order
	 * @param storedEvents for items whose text begins after stored progress, how many of
	 * its events come before
	 * @throws ServiceException with {@link ResultCode#REVISION_CONFLICT} if some of these
	 * events are not stored
	 */
	public void addResults(JobId id, List<ItemResult> results, Map<String, Integer> storedEvents)
			throws ServiceException {
		Optional<Job> job = job(id);
		if (job.isPresent() && !storedEvents.entrySet()
			.stream()
			.allMatch((stored) -> job.get().hasStored(stored.getKey(), stored.getValue()))) {
			throw ServiceException.of(ResultCode.REVISION_CONFLICT, "events before a result are not stored");
		}
		job.ifPresent((known) -> results
			.forEach((result) -> known.addResult(result, storedEvents.getOrDefault(result.itemId(), 0))));
	}

	/**
	 * Stores the progress of items of a job that is known, of all or of none.
	 * @param id the job
	 * @param progress what the items have gained
	 * @throws ServiceException with {@link ResultCode#REVISION_CONFLICT} if some of it
	 * does not follow what is stored
	 */
	public void storeProgress(JobId id, List<ItemProgress> progress) throws ServiceException {
		Optional<Job> job = job(id);
		if (job.isPresent() && !progress.stream().allMatch(job.get()::continuesStored)) {
			throw ServiceException.of(ResultCode.REVISION_CONFLICT, "other progress of an item is stored");
		}
		job.ifPresent((known) -> progress.forEach(known::storeProgress));
	}

	/**
	 * Ends a job.
	 * @param id the job
	 */
	public void end(JobId id) {
		job(id).ifPresent(Job::end);
	}

	/**
	 * Forgets jobs.
	 * @param ids the jobs
	 */
	public void remove(Collection<JobId> ids) {
		ids.forEach(this.jobs::remove);
	}

	/**
	 * Returns a job.
	 * @param id the job
	 * @return the job, which only the ledger may change, or empty if it is unknown
	 */
	public Optional<Job> job(JobId id) {
		return Optional.ofNullable(this.jobs.get(id));
	}

	/**
	 * Returns all jobs.
	 * @return the jobs, oldest first, which only the ledger may change
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
