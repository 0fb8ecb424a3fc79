package org.zinniatack.core.job;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.size.HeapSize;

/**
 * The ends of jobs that were not known when they ended, and of removed jobs. A
 * submission, or a copy of it, may be on its way for as long as a process or a link
 * stands still, and must not run after its end.
 * <p>
 * Ends are forgotten in two steps, so that a submission is accepted only if it was sent
 * after all forgotten ends: ends up to an index are announced as forgettable once they
 * are {@link #MEMORY_MS} old, and are forgotten when the next announcement is made. An
 * entry states in each submission the newest announcement that it has received. Since the
 * caller has sent the submission less than {@link #MEMORY_MS} before, it was sent after
 * all announced ends. A submission that states an announcement before the forgotten ends
 * is refused, however long it was held back, and may be sent again.
 */
public final class EarlyEnds {

	/**
	 * The shortest time for which an end is remembered, by the monotonic clock of the
	 * leader, in milliseconds.
	 */
	public static final long MEMORY_MS = 60_000;

	/**
	 * The oldest submission that an entry passes on, in milliseconds. The difference to
	 * {@link #MEMORY_MS} allows for what has waited at an entry without its knowledge.
	 */
	public static final long MAX_SUBMISSION_AGE_MS = 45_000;

	static final long MAX_CUSTOMER_BYTES = 256 * 1024;

	static final long MAX_BYTES = 4 * 1024 * 1024;

	/** A tenth of the time after which the oldest end is forgotten. */
	private static final long FULL_RETRY_MS = 6_000;

	/** The time until a sender has received the newest announcement. */
	private static final long STALE_RETRY_MS = 500;

	private final Map<JobCall, Long> indexByCall = new LinkedHashMap<>();

	private final Map<String, Long> bytesByCustomer = new HashMap<>();

	private long bytes;

	private long forgettableIndex;

	private long forgottenIndex;

	static EarlyEnds of(@Nullable Image image) {
		EarlyEnds ends = new EarlyEnds();
		if (image != null) {
			image.ends().forEach((end) -> ends.put(JobCall.of(end.id(), end.match()), end.index()));
			ends.forgettableIndex = image.forgettableIndex();
			ends.forgottenIndex = image.forgottenIndex();
		}
		return ends;
	}

	/**
	 * Remembers an end.
	 * @param call the call that ended a job
	 * @param index the log index of the end
	 * @throws ServiceException with {@link ResultCode#STATE_FULL} if the customer, or all
	 * customers together, have too many remembered ends
	 */
	void remember(JobCall call, long index) throws ServiceException {
		if (!tryRemember(call, index)) {
			throw ServiceException.retryable(ResultCode.STATE_FULL,
					"customer \"%s\" has ended too many unknown jobs to remember the end of job %s"
						.formatted(call.id().customer(), call.id().name()),
					FULL_RETRY_MS);
		}
	}

	/**
	 * Remembers an end if there is room for it.
	 * @param call the call that ended a job
	 * @param index the log index of the end
	 * @return true if it is remembered
	 */
	boolean tryRemember(JobCall call, long index) {
		long added = this.indexByCall.containsKey(call) ? 0 : bytesOf(call);
		if (this.bytesByCustomer.getOrDefault(call.id().customer(), 0L) + added > MAX_CUSTOMER_BYTES
				|| this.bytes + added > MAX_BYTES) {
			return false;
		}
		put(call, index);
		return true;
	}

	private void put(JobCall call, long index) {
		if (!this.indexByCall.containsKey(call)) {
			addBytes(call, bytesOf(call));
		}
		this.indexByCall.merge(call, index, Math::max);
	}

	private void remove(JobCall call) {
		if (this.indexByCall.remove(call) != null) {
			addBytes(call, -bytesOf(call));
		}
	}

	private void addBytes(JobCall call, long added) {
		this.bytes += added;
		this.bytesByCustomer.merge(call.id().customer(), added, (one, other) -> (one + other > 0) ? one + other : null);
	}

	private static long bytesOf(JobCall call) {
		return 4 * HeapSize.OBJECT_BYTES + HeapSize.MAP_ENTRY_BYTES + HeapSize.of(call.id().customer())
				+ HeapSize.of(call.id().name());
	}

	/** Returns whether a remembered end may have meant a job that was not known then. */
	boolean include(JobId job) {
		return List
			.of(new JobCall(job, OwnerMatch.EXACT), new JobCall(job, OwnerMatch.OWN_OR_NOBODYS),
					new JobCall(job.withoutOwner(), OwnerMatch.ANYBODYS))
			.stream()
			.anyMatch(this.indexByCall::containsKey)
				|| (job.owner().isEmpty() && this.indexByCall.keySet().stream().anyMatch((end) -> end.mayMean(job)));
	}

	/**
	 * Checks that a submission was sent after all forgotten ends.
	 * @param knownIndex the forgettable index that the sender knew
	 * @throws ServiceException with {@link ResultCode#SUBMISSION_STALE} if it may have
	 * been sent before
	 */
	void requireSentAfterForgotten(JobId job, long knownIndex) throws ServiceException {
		if (knownIndex < this.forgottenIndex) {
			throw ServiceException.retryable(ResultCode.SUBMISSION_STALE,
					"job %s may have been ended at index %d or before, its sender knows of ends up to %d"
						.formatted(job.name(), this.forgottenIndex, knownIndex),
					STALE_RETRY_MS);
		}
	}

	/** Forgets the ends that were announced as forgettable. */
	void forget() {
		this.forgottenIndex = this.forgettableIndex;
		List.copyOf(this.indexByCall.entrySet()).forEach((end) -> {
			if (end.getValue() <= this.forgottenIndex) {
				remove(end.getKey());
			}
		});
	}

	/** Announces that ends up to an index will be forgotten. */
	void announce(long index) {
		this.forgettableIndex = Math.max(this.forgettableIndex, index);
	}

	/**
	 * Returns the index up to which ends will be forgotten next.
	 * @return the log index, 0 before the first announcement
	 */
	public long forgettableIndex() {
		return this.forgettableIndex;
	}

	/**
	 * Returns the index up to which ends are forgotten.
	 * @return the log index, 0 if none is
	 */
	public long forgottenIndex() {
		return this.forgottenIndex;
	}

	/**
	 * Returns the index of the oldest remembered end.
	 * @return the log index, or empty if no end is remembered
	 */
	public OptionalLong oldestIndex() {
		return this.indexByCall.values().stream().mapToLong(Long::longValue).min();
	}

	/**
	 * Returns the number of remembered ends.
	 * @return the number of ends
	 */
	public int count() {
		return this.indexByCall.size();
	}

	/**
	 * Returns the stored form.
	 * @return the stored form
	 */
	public Image image() {
		return new Image(this.indexByCall.entrySet()
			.stream()
			.map((end) -> new End(end.getKey().id(), end.getKey().match(), end.getValue()))
			.toList(), this.forgettableIndex, this.forgottenIndex);
	}

	/**
	 * A remembered end.
	 *
	 * @param id the customer of the call, if any, and the caller's id of the job
	 * @param match the owners whose job the call may mean
	 * @param index the log index of the end
	 */
	public record End(JobId id, OwnerMatch match, long index) {
	}

	/**
	 * The stored form of the remembered ends.
	 *
	 * @param ends the ends
	 * @param forgettableIndex the index up to which ends will be forgotten next
	 * @param forgottenIndex the index up to which ends are forgotten
	 */
	public record Image(List<End> ends, long forgettableIndex, long forgottenIndex) {

		/** The stored form before the first end. */
		public static final Image NONE = new Image(List.of(), 0, 0);

		/**
		 * Copies the arguments.
		 */
		public Image {
			ends = List.copyOf(Objects.requireNonNullElse(ends, List.of()));
		}

	}

}
