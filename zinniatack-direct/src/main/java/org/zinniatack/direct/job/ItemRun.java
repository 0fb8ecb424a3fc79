package org.zinniatack.direct.job;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;

/**
 * How far an item has come. All its state belongs to the runner's event loop.
 */
final class ItemRun {

	final JobSubmission job;

	final JobItem item;

	final int position;

	final EventText text;

	Phase phase = Phase.WAITING;

	@Nullable TargetNotice target;

	/** Gives up what is under way: a generation or a scoring call. */
	Runnable canceller = () -> {
	};

	int failureCount;

	int scoringFailureCount;

	int lossCount;

	long heardAtMs;

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
		this.text = text;
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
