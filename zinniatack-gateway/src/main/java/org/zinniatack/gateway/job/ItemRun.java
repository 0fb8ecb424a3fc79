package org.zinniatack.gateway.job;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.ItemProgress;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;

/**
 * The execution state of an item. It must be used on the event loop of the runner only.
 */
final class ItemRun {

	/**
	 * About half a second of output. Regenerating fewer events is faster than storing
	 * them.
	 */
	private static final int MINIMUM_EVENTS_TO_STORE = 10;

	/** Allows for a target that loads weights or processes a long prompt. */
	private static final long FIRST_EVENT_TIMEOUT_MS = 1_500;

	/**
	 * Events usually arrive every few tens of milliseconds, and every 250 ms from a very
	 * slow target.
	 */
	private static final long EVENT_TIMEOUT_MS = 600;

	/**
	 * The time limit of one attempt, in milliseconds. It is four times the longest time
	 * that trainers wait for a step.
	 */
	static final long ATTEMPT_TIMEOUT_MS = 30_000;

	/**
	 * Limits the rate at which an item is sent to targets that yield no event of it.
	 * Afterwards its targets also have more time, since it may be the item that needs it.
	 */
	private static final int FRUITLESS_LOSSES_WITHOUT_PAUSE = 3;

	private static final long LOSS_PAUSE_MS = 250;

	private static final int TIMEOUT_FACTOR_AFTER_LOSSES = 4;

	final JobSubmission job;

	final JobItem item;

	final int position;

	/** The position of the first item of its group. */
	final int groupPosition;

	/** The position among all items that the runner has opened. */
	final long sequence;

	final EventText text;

	Phase phase = Phase.WAITING;

	@Nullable TargetNotice target;

	/** Cancels the current generation or scoring call. */
	Runnable canceller = () -> {
	};

	/** True if a stored output was complete, so that only the score is missing. */
	boolean restoredComplete;

	/** The number of events that are stored as progress of the job. */
	private int storedEventCount;

	/**
	 * The number of stored events that the log has confirmed to this run. Restored events
	 * are not included, because progress that an earlier run proposed may still be
	 * appended after them.
	 */
	private int confirmedEventCount;

	private @Nullable PendingProgress pendingProgress;

	int failureCount;

	int scoringFailureCount;

	/** The delay before the last scoring call that was repeated, or 0. */
	long scoringRetryMs;

	/** The number of attempts that were lost after the item was sent. */
	int lossCount;

	/** The number of consecutive losses without a usable event. */
	private int fruitlessLossCount;

	/** The time for which targets have generated the events, in milliseconds. */
	private long generatingMs;

	/** The time since which the item waits to go on. */
	private long waitingSinceMs;

	/** The number of moves to a faster target. */
	int moveCount;

	/** The time at which the item was sent to its current target. */
	long sentAtMs;

	/** The time of the last complete event, or before that of the head or the sending. */
	long lastProgressAtMs;

	/** The number of usable events from the current target. */
	int attemptEventCount;

	long notBeforeMs;

	final long openedAtMs;

	/** The time at which the item was first sent to a target, or 0. */
	long startedAtMs;

	/** The time at which the output was complete, or 0. */
	long generatedAtMs;

	ItemRun(JobSubmission job, JobItem item, int position, EventText text, long openedAtMs) {
		this(job, item, position, groupPosition(job, item, position), new Start(text, openedAtMs, position));
	}

	/** Creates a run of an item whose group begins at a known position. */
	ItemRun(JobSubmission job, JobItem item, int position, int groupPosition, Start start) {
		this.openedAtMs = start.openedAtMs();
		this.waitingSinceMs = start.openedAtMs();
		this.sequence = start.sequence();
		this.text = start.text();
		this.job = job;
		this.item = item;
		this.position = position;
		this.groupPosition = groupPosition;
	}

	/** Records that the item is sent to a target. */
	void beginAttempt(long nowMs) {
		this.sentAtMs = nowMs;
		this.lastProgressAtMs = nowMs;
		this.attemptEventCount = 0;
		this.startedAtMs = (this.startedAtMs == 0) ? nowMs : this.startedAtMs;
	}

	/**
	 * Records that the attempt was lost. The item starts again if its output cannot be
	 * continued.
	 * @return the pause before the next attempt, in milliseconds
	 */
	long recordLoss() {
		this.lossCount++;
		this.fruitlessLossCount = (this.attemptEventCount > 0) ? 0 : this.fruitlessLossCount + 1;
		this.text.loseStream();
		if (this.text.isStuck()) {
			restart();
		}
		return mayNeedTime() ? LOSS_PAUSE_MS : 0;
	}

	/** Records that the item waits for a target from now on. */
	void beginWaiting(long nowMs) {
		if (this.phase == Phase.GENERATING) {
			this.generatingMs += nowMs - this.sentAtMs;
		}
		this.waitingSinceMs = nowMs;
	}

	/**
	 * Returns whether the item has waited for as long as its events took. Waiting longer
	 * could cost more than twice what starting again at once would have cost.
	 */
	boolean hasWaitedAsLongAsGenerated(long nowMs) {
		return nowMs - this.waitingSinceMs > this.generatingMs;
	}

	/** Returns whether the item was opened at least some time ago. */
	boolean isOpenFor(long durationMs, long nowMs) {
		return nowMs - this.openedAtMs >= durationMs;
	}

	private boolean mayNeedTime() {
		return this.fruitlessLossCount > FRUITLESS_LOSSES_WITHOUT_PAUSE;
	}

	/**
	 * Returns whether the target is considered to have lost the item. Only complete
	 * events count as progress, because a target may send other bytes forever.
	 */
	boolean isStalled(long nowMs) {
		long timeoutMs = (this.text.eventCount() > 0) ? EVENT_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS;
		boolean moreTime = this.attemptEventCount == 0 && mayNeedTime();
		return nowMs - this.lastProgressAtMs > (moreTime ? TIMEOUT_FACTOR_AFTER_LOSSES * timeoutMs : timeoutMs)
				|| nowMs - this.sentAtMs > ATTEMPT_TIMEOUT_MS;
	}

	/** Continues from a stored output. */
	void restore(OpenJob.StoredOutput stored) {
		this.text.restore(stored.text());
		this.generatingMs = Math.round(this.text.eventCount() * WaitingLane.TYPICAL_EVENT_MS);
		this.restoredComplete = stored.complete();
		this.storedEventCount = stored.ofThisJob() ? this.text.eventCount() : 0;
	}

	/** Discards the output so far because it cannot be used. */
	void restart() {
		this.text.reset();
		this.generatingMs = 0;
		this.attemptEventCount = 0;
		this.restoredComplete = false;
		this.pendingProgress = null;
		resetStoredCounts();
	}

	private void resetStoredCounts() {
		this.storedEventCount = 0;
		this.confirmedEventCount = 0;
	}

	/** Returns whether there are enough new events to store the progress. */
	boolean hasProgressToStore() {
		return this.pendingProgress == null && this.phase == Phase.GENERATING
				&& this.text.eventCount() - this.storedEventCount >= MINIMUM_EVENTS_TO_STORE;
	}

	/**
	 * Starts storing the progress. The caller must report the result to the returned
	 * object.
	 */
	PendingProgress beginStoring() {
		PendingProgress started = new PendingProgress(this, this.text.eventCount(),
				new ItemProgress(this.item.id(), this.storedEventCount, this.text.eventsFrom(this.storedEventCount)));
		this.pendingProgress = started;
		return started;
	}

	/**
	 * Returns the outcome of an item whose output is complete. The result leaves out
	 * events whose storage the log has confirmed, but never the last event.
	 */
	ItemOutcome outcome(String score) {
		int omittedCount = Math.max(0, Math.min(this.confirmedEventCount, this.text.eventCount() - 1));
		return new ItemOutcome(this,
				new ItemResult(this.item.id(), true, this.text.textFrom(omittedCount), this.text.versions(), score),
				omittedCount);
	}

	private static int groupPosition(JobSubmission job, JobItem item, int position) {
		int first = position;
		while (!item.group().isEmpty() && first > 0 && job.items().get(first - 1).group().equals(item.group())) {
			first--;
		}
		return first;
	}

	/**
	 * Progress of an item that was proposed to the log and is not confirmed.
	 *
	 * @param run the run of the item
	 * @param eventCountAfter the number of events including the progress
	 * @param progress the progress
	 */
	record PendingProgress(ItemRun run, int eventCountAfter, ItemProgress progress) {

		/** Records that the progress is stored, unless the item was restarted since. */
		void succeed() {
			if (this.run.pendingProgress == this) {
				this.run.pendingProgress = null;
				this.run.storedEventCount = this.eventCountAfter;
				this.run.confirmedEventCount = this.eventCountAfter;
			}
		}

		/**
		 * Makes the whole output be stored again, since the content of the log is
		 * unknown.
		 */
		void fail() {
			if (this.run.pendingProgress == this) {
				this.run.pendingProgress = null;
				this.run.resetStoredCounts();
			}
		}

	}

	/**
	 * What the run of an item starts with.
	 *
	 * @param text the empty output
	 * @param openedAtMs the monotonic time, in milliseconds
	 * @param sequence the position among all items that the runner has opened
	 */
	record Start(EventText text, long openedAtMs, long sequence) {
	}

	/** The phase of an item. */
	enum Phase {

		/** The item waits for a slot. */
		WAITING,

		/** A target generates the output. */
		GENERATING,

		/** The output is complete and waits for its score. */
		SCORING,

		/** The result waits for its commit. */
		COMMITTING,

		/** The result is committed, or the item was cancelled. */
		FINISHED

	}

}
