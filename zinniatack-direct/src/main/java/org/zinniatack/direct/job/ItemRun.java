package org.zinniatack.direct.job;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.ItemProgress;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;

/**
 * How far an item has come. All its state belongs to the runner's event loop.
 */
final class ItemRun {

	/**
	 * About half a second of output; shorter items are quicker made again than stored.
	 */
	private static final int LEAST_EVENTS_TO_STORE = 10;

	/** A target that loads weights or reads a long prompt may be silent this long. */
	private static final long FIRST_EVENT_LIMIT_MS = 1_500;

	/**
	 * Events come every few tens of milliseconds, 250 ms apart from a very slow target.
	 */
	private static final long EVENT_LIMIT_MS = 600;

	/**
	 * The time that a target gets for one run, in milliseconds: four times the latest
	 * that the users' trainers wait for a step.
	 */
	static final long RUN_LIMIT_MS = 30_000;

	final JobSubmission job;

	final JobItem item;

	final int position;

	/** The position of the first item of its group. */
	final int groupPosition;

	final EventText text;

	Phase phase = Phase.WAITING;

	@Nullable TargetNotice target;

	/** Gives up what is under way: a generation or a scoring call. */
	Runnable canceller = () -> {
	};

	/** True if the output is whole from the start and lacks only a score. */
	boolean storedWhole;

	/** How many events of its text are stored as progress of its job. */
	private int storedEvents;

	/**
	 * How many of them the log has confirmed to this run. What was read at the start of a
	 * term may still be followed by progress that an earlier run had on its way.
	 */
	private int confirmedEvents;

	private @Nullable Storing storing;

	int failureCount;

	int scoringFailureCount;

	int lossCount;

	/** How often it has left a target for a faster one. */
	int moveCount;

	/** When its present target got it. */
	long sentAtMs;

	/** When its present target began to answer, or sent the last whole event. */
	long heardAtMs;

	/** The events that its present target has sent. */
	int eventsHere;

	long notBeforeMs;

	final long openedAtMs;

	/** When a target first got it, 0 before. */
	long startedAtMs;

	/** When its output was whole, 0 before. */
	long generatedAtMs;

	ItemRun(JobSubmission job, JobItem item, int position, EventText text, long openedAtMs) {
		this.openedAtMs = openedAtMs;
		this.job = job;
		this.item = item;
		this.position = position;
		this.groupPosition = groupPosition(job, item, position);
		this.text = text;
	}

	/** Notes that a target gets the item. */
	void beginAttempt(long nowMs) {
		this.sentAtMs = nowMs;
		this.heardAtMs = nowMs;
		this.eventsHere = 0;
		this.startedAtMs = (this.startedAtMs == 0) ? nowMs : this.startedAtMs;
	}

	/**
	 * Returns whether its target must be taken to have lost the item. Only whole events
	 * are progress: bytes that complete none may come now and then, and without end.
	 */
	boolean isStalled(long nowMs) {
		long limitMs = (this.text.eventCount() > 0) ? EVENT_LIMIT_MS : FIRST_EVENT_LIMIT_MS;
		return nowMs - this.heardAtMs > limitMs || nowMs - this.sentAtMs > RUN_LIMIT_MS;
	}

	/** Goes on from what is stored of the item. */
	void restore(OpenJob.Stored stored) {
		this.text.restore(stored.text());
		this.storedWhole = stored.whole();
		this.storedEvents = stored.ofThisJob() ? this.text.eventCount() : 0;
	}

	/** Forgets the output so far, which cannot be used. */
	void beginAgain() {
		this.text.reset();
		this.storedWhole = false;
		this.storing = null;
		storeAnew();
	}

	private void storeAnew() {
		this.storedEvents = 0;
		this.confirmedEvents = 0;
	}

	/** Returns whether enough has come since the progress was stored. */
	boolean hasProgressToStore() {
		return this.storing == null && this.phase == Phase.GENERATING
				&& this.text.eventCount() - this.storedEvents >= LEAST_EVENTS_TO_STORE;
	}

	/** Begins to store the progress; the end of the storing must be noted. */
	Storing beginStoring() {
		Storing begun = new Storing(this, this.text.eventCount(),
				new ItemProgress(this.item.id(), this.storedEvents, this.text.eventsFrom(this.storedEvents)));
		this.storing = begun;
		return begun;
	}

	/**
	 * Returns the end of an item whose output is whole. Its result leaves out events that
	 * are stored as progress, but never the last.
	 */
	ItemEnd end(String score) {
		int before = Math.max(0, Math.min(this.confirmedEvents, this.text.eventCount() - 1));
		return new ItemEnd(this,
				new ItemResult(this.item.id(), true, this.text.textFrom(before), this.text.versions(), score), before);
	}

	private static int groupPosition(JobSubmission job, JobItem item, int position) {
		int first = position;
		while (!item.group().isEmpty() && first > 0 && job.items().get(first - 1).group().equals(item.group())) {
			first--;
		}
		return first;
	}

	/**
	 * Progress of an item on its way into the log.
	 *
	 * @param run the item
	 * @param events the number of events with it
	 * @param progress the progress
	 */
	record Storing(ItemRun run, int events, ItemProgress progress) {

		/** Notes that it is stored, unless the item has begun again since. */
		void succeed() {
			if (this.run.storing == this) {
				this.run.storing = null;
				this.run.storedEvents = this.events;
				this.run.confirmedEvents = this.events;
			}
		}

		/** Has the whole output stored anew, since what the log holds is not known. */
		void fail() {
			if (this.run.storing == this) {
				this.run.storing = null;
				this.run.storeAnew();
			}
		}

	}

	/** Where an item is on its way. */
	enum Phase {

		/** It waits for a slot. */
		WAITING,

		/** A target generates its output. */
		GENERATING,

		/** Its output is whole and it waits for its score. */
		SCORING,

		/** Its result is on its way into the log. */
		COMMITTING,

		/** Its result is in the log. */
		FINISHED

	}

}
