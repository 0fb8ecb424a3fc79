package org.zinniatack.gateway.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.ControlService;
import org.zinniatack.core.job.ItemProgress;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;

/**
 * Commits the results and the progress of items to the replicated log. All methods must
 * be called on the event loop.
 */
final class ItemCommitter {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Collects results that arrive at about the same time into one command. */
	private static final long COMMIT_DELAY_MS = 10;

	private static final long COMMIT_RETRY_MS = 200;

	private final EventLoop loop;

	private final ControlService control;

	private final BooleanSupplier isLeader;

	private final Consumer<ItemRun> regenerate;

	private final Map<JobId, List<ItemOutcome>> uncommitted = new HashMap<>();

	private boolean commitScheduled;

	/** Number of clearings, which identifies replies to earlier commands. */
	private int clearCount;

	/**
	 * Returns a committer.
	 * @param loop the event loop
	 * @param control the service that proposes commands to the log
	 * @param isLeader returns whether this process is the leader
	 * @param regenerate generates an item again from the beginning
	 */
	ItemCommitter(EventLoop loop, ControlService control, BooleanSupplier isLeader, Consumer<ItemRun> regenerate) {
		this.loop = loop;
		this.control = control;
		this.isLeader = isLeader;
		this.regenerate = regenerate;
	}

	/** Adds an outcome to the next command. */
	void enqueue(ItemOutcome outcome) {
		this.uncommitted.computeIfAbsent(outcome.run().job.id(), (absent) -> new ArrayList<>()).add(outcome);
		scheduleCommit(COMMIT_DELAY_MS);
	}

	/** Discards uncommitted outcomes after this process has lost leadership. */
	void clear() {
		this.uncommitted.clear();
		this.clearCount++;
	}

	private void scheduleCommit(long delayMs) {
		if (!this.commitScheduled) {
			this.commitScheduled = true;
			this.loop.schedule(this::commit, delayMs, TimeUnit.MILLISECONDS);
		}
	}

	private void commit() {
		this.commitScheduled = false;
		if (this.uncommitted.isEmpty()) {
			return;
		}
		if (!this.isLeader.getAsBoolean()) {
			// The lease may only have lapsed; clear() is called if it is lost.
			scheduleCommit(COMMIT_RETRY_MS);
			return;
		}
		Map<JobId, List<ItemOutcome>> batch = new HashMap<>(this.uncommitted);
		this.uncommitted.clear();
		int clearCountAtCommit = this.clearCount;
		batch.forEach((id, outcomes) -> this.control.propose(finishCommand(id, outcomes))
			.whenComplete((reply, failure) -> this.loop.execute(() -> {
				if (this.clearCount == clearCountAtCommit) {
					onCommitted(id, outcomes, reply, failure);
				}
			})));
	}

	private static Command.FinishItems finishCommand(JobId id, List<ItemOutcome> outcomes) {
		Map<String, Integer> storedEventCounts = new HashMap<>();
		outcomes.stream()
			.filter((outcome) -> outcome.storedEventCount() > 0)
			.forEach((outcome) -> storedEventCounts.put(outcome.result().itemId(), outcome.storedEventCount()));
		return new Command.FinishItems(id, outcomes.stream().map(ItemOutcome::result).toList(), storedEventCounts);
	}

	private void onCommitted(JobId id, List<ItemOutcome> outcomes, @Nullable Reply reply, @Nullable Throwable failure) {
		List<ItemOutcome> committing = outcomes.stream()
			.filter((outcome) -> outcome.run().phase == ItemRun.Phase.COMMITTING)
			.toList();
		if (reply instanceof Reply.Accepted) {
			committing.forEach((outcome) -> outcome.run().phase = ItemRun.Phase.FINISHED);
			return;
		}
		LOGGER.atWarning()
			.log("event=results_not_committed job=%s items=%d reply=%s detail=\"%s\"", id.name(), outcomes.size(),
					reply, failure);
		if (reply instanceof Reply.Refused) {
			committing.forEach((outcome) -> this.regenerate.accept(outcome.run()));
			return;
		}
		committing
			.forEach((outcome) -> this.uncommitted.computeIfAbsent(id, (absent) -> new ArrayList<>()).add(outcome));
		scheduleCommit(COMMIT_RETRY_MS);
	}

	/**
	 * Stores the progress of long items of a job, so that a new leader can resume them.
	 */
	void storeProgress(JobId id, Collection<ItemRun> runs) {
		List<ItemRun.PendingProgress> pending = runs.stream()
			.filter(ItemRun::hasProgressToStore)
			.map(ItemRun::beginStoring)
			.toList();
		if (pending.isEmpty()) {
			return;
		}
		List<ItemProgress> progress = pending.stream().map(ItemRun.PendingProgress::progress).toList();
		this.control.propose(new Command.RecordProgress(id, progress))
			.whenComplete((reply, failure) -> this.loop.execute(() -> {
				if (reply instanceof Reply.Accepted) {
					pending.forEach(ItemRun.PendingProgress::succeed);
					return;
				}
				LOGGER.atInfo()
					.log("event=progress_not_stored job=%s items=%d reply=%s detail=\"%s\"", id.name(), pending.size(),
							reply, failure);
				pending.forEach(ItemRun.PendingProgress::fail);
			}));
	}

}
