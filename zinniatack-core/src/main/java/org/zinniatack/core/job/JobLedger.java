package org.zinniatack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Replicated record of the jobs of all customers, in order of acceptance.
 */
public final class JobLedger {

	private final Map<JobId, Job> jobs = new LinkedHashMap<>();

	private final EarlyEnds earlyEnds;

	private JobSize size = JobSize.ZERO;

	/**
	 * Creates a ledger without jobs.
	 */
	public JobLedger() {
		this(new EarlyEnds());
	}

	private JobLedger(EarlyEnds earlyEnds) {
		this.earlyEnds = earlyEnds;
	}

	/**
	 * Restores a ledger from its stored form.
	 * @param images the stored jobs, oldest first
	 * @param earlyEnds the remembered ends, null in the stored form of an earlier version
	 * @return the ledger
	 */
	public static JobLedger of(List<Job.Image> images, EarlyEnds.@Nullable Image earlyEnds) {
		JobLedger ledger = new JobLedger(EarlyEnds.of(earlyEnds));
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
	 * Accepts a job as a process of an earlier version submits it. A job with an id that
	 * is already known is ignored, and a job that was ended before is accepted as ended.
	 * @param submission the job
	 * @return what the submission did
	 */
	public JobEffect submit(JobSubmission submission) {
		return isKnown(submission, OwnerMatch.EXACT) ? JobEffect.REPEATED : accept(submission, 0);
	}

	/**
	 * Accepts a job as {@link #submit(JobSubmission)} does, but only if it was sent after
	 * all ends that are forgotten.
	 * @param submission the job
	 * @param match the owners whose job the submission may repeat
	 * @param index the log index of the submission
	 * @param knownEndsIndex the index up to which the sender knew ends to be forgettable
	 * @return what the submission did
	 * @throws ServiceException with {@link ResultCode#SUBMISSION_STALE} if the job may
	 * have been ended by a call that is forgotten
	 */
	public JobEffect submit(JobSubmission submission, OwnerMatch match, long index, long knownEndsIndex)
			throws ServiceException {
		if (isKnown(submission, match)) {
			return JobEffect.REPEATED;
		}
		this.earlyEnds.requireSentAfterForgotten(submission.id(), knownEndsIndex);
		return accept(submission, index);
	}

	private JobEffect accept(JobSubmission submission, long index) {
		Job job = new Job(submission, index);
		boolean ended = this.earlyEnds.include(submission.id());
		if (ended) {
			job.end(index);
		}
		add(job);
		return ended ? JobEffect.ACCEPTED_ENDED : JobEffect.ACCEPTED;
	}

	/**
	 * Returns whether a submission repeats one that was accepted: one with the same id,
	 * or one with the same content whose job the caller reads and ends by this name. A
	 * caller sends the same job with a key once customers are configured, and without an
	 * owner once none are.
	 * @param submission the job
	 * @param match the owners whose job the submission may repeat
	 * @return true if accepting it changes nothing
	 */
	public boolean isKnown(JobSubmission submission, OwnerMatch match) {
		return this.jobs.containsKey(submission.id()) || candidates(new JobCall(submission.id(), match))
			.anyMatch((job) -> job.submission().hasSameContent(submission));
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
	 * Ends the job that a call means. Its results are kept. Unless it is the caller's
	 * own, the end is also remembered for a submission that may be on its way.
	 * @param call the call
	 * @param index the log index of the end
	 * @return what the end did
	 * @throws ServiceException with {@link ResultCode#STATE_FULL} if too many ends are
	 * remembered to add another one, or with {@link ResultCode#JOB_AMBIGUOUS}
	 */
	public JobEffect end(JobCall call, long index) throws ServiceException {
		Optional<Job> meant = find(call);
		if (meant.filter((job) -> job.submission().id().equals(call.id())).isEmpty()) {
			this.earlyEnds.remember(meant.isEmpty() ? call : new JobCall(call.id(), OwnerMatch.EXACT), index);
		}
		meant.filter((job) -> !job.isEnded()).ifPresent((open) -> change(open, (job) -> job.end(index)));
		return meant.isPresent() ? JobEffect.ENDED : JobEffect.END_REMEMBERED;
	}

	/**
	 * Returns the job that a call means.
	 * @param call the call
	 * @return the job, which only the ledger may modify, or empty if there is none
	 * @throws ServiceException with {@link ResultCode#JOB_AMBIGUOUS} if it may mean jobs
	 * of several customers
	 */
	public Optional<Job> find(JobCall call) throws ServiceException {
		Optional<Job> own = job(call.id());
		if (own.isPresent()) {
			return own;
		}
		List<Job> others = candidates(call).toList();
		if (others.size() > 1) {
			throw ServiceException.of(ResultCode.JOB_AMBIGUOUS,
					"%d customers have a job %s".formatted(others.size(), call.id().name()));
		}
		return others.stream().findFirst();
	}

	/** Returns the jobs that a call may mean. */
	private Stream<Job> candidates(JobCall call) {
		return switch (call.match()) {
			case EXACT -> job(call.id()).stream();
			case OWN_OR_NOBODYS ->
				Stream.of(call.id(), call.id().withoutOwner()).distinct().flatMap((id) -> job(id).stream());
			case ANYBODYS -> this.jobs.values().stream().filter((job) -> call.mayMean(job.submission().id()));
		};
	}

	/**
	 * Returns the ends of jobs that were not known when they ended, and of removed jobs.
	 * @return the ends, which only the ledger may modify
	 */
	public EarlyEnds earlyEnds() {
		return this.earlyEnds;
	}

	/**
	 * Removes jobs and their results, whatever calls for them may be on their way.
	 * @param ids the jobs
	 */
	public void removeJobs(Collection<JobId> ids) {
		for (JobId id : ids) {
			Job removed = this.jobs.remove(id);
			this.size = this.size.minus((removed != null) ? removed.size() : JobSize.ZERO);
		}
	}

	/**
	 * Forgets the ends that were announced as forgettable, and announces further ones.
	 * Removes jobs; a copy of a submission of them that is still on its way is refused or
	 * accepted as ended. A job stays until a later call if too many ends are remembered.
	 * @param ids the jobs
	 * @param forgettableIndex the log index up to which ends may be forgotten next
	 */
	public void removeJobs(Collection<JobId> ids, long forgettableIndex) {
		this.earlyEnds.forget();
		this.earlyEnds.announce(forgettableIndex);
		for (JobId id : ids) {
			Optional<Job> job = job(id);
			if (job.isPresent() && preventsCopies(job.get())) {
				removeJobs(List.of(id));
			}
		}
	}

	/**
	 * Remembers the end of a job that is to be removed, unless copies of its submission
	 * are refused.
	 * @return false if there is no room for the end
	 */
	private boolean preventsCopies(Job job) {
		JobCall call = new JobCall(job.submission().id(), OwnerMatch.EXACT);
		return job.lastCallIndex() <= this.earlyEnds.forgottenIndex()
				|| this.earlyEnds.tryRemember(call, job.lastCallIndex());
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
