package org.zinniatack.direct.job;

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
 * Writes the results and the progress of items into the replicated log. Its methods must
 * be called on one event loop.
 */
final class ItemLog {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Results that arrive together go into the log together. */
	private static final long COMMIT_DELAY_MS = 10;

	private static final long COMMIT_RETRY_MS = 200;

	private final EventLoop loop;

	private final ControlService control;

	private final BooleanSupplier leads;

	private final Consumer<ItemRun> generateAgain;

	private final Map<JobId, List<ItemEnd>> uncommitted = new HashMap<>();

	private boolean commitPlanned;

	/** Counts how often the log was cleared, so that answers from before are known. */
	private int clears;

	/**
	 * Returns a log.
	 * @param loop the event loop
	 * @param control the control process
	 * @param leads tells whether this process leads
	 * @param generateAgain generates an item anew
	 */
	ItemLog(EventLoop loop, ControlService control, BooleanSupplier leads, Consumer<ItemRun> generateAgain) {
		this.loop = loop;
		this.control = control;
		this.leads = leads;
		this.generateAgain = generateAgain;
	}

	/** Commits how an item ended. */
	void add(ItemEnd end) {
		this.uncommitted.computeIfAbsent(end.run().job.id(), (absent) -> new ArrayList<>()).add(end);
		planCommit(COMMIT_DELAY_MS);
	}

	/** Forgets what is not committed, since this process leads no more. */
	void clear() {
		this.uncommitted.clear();
		this.clears++;
	}

	private void planCommit(long delayMs) {
		if (!this.commitPlanned) {
			this.commitPlanned = true;
			this.loop.schedule(this::commit, delayMs, TimeUnit.MILLISECONDS);
		}
	}

	private void commit() {
		this.commitPlanned = false;
		if (!this.leads.getAsBoolean()) {
			return;
		}
		Map<JobId, List<ItemEnd>> batch = new HashMap<>(this.uncommitted);
		this.uncommitted.clear();
		int committing = this.clears;
		batch.forEach((id, ends) -> this.control.propose(finishing(id, ends))
			.whenComplete((reply, failure) -> this.loop.execute(() -> {
				if (this.clears == committing) {
					onCommitted(id, ends, reply, failure);
				}
			})));
	}

	private static Command.FinishItems finishing(JobId id, List<ItemEnd> ends) {
		Map<String, Integer> storedEvents = new HashMap<>();
		ends.stream()
			.filter((end) -> end.storedEvents() > 0)
			.forEach((end) -> storedEvents.put(end.result().itemId(), end.storedEvents()));
		return new Command.FinishItems(id, ends.stream().map(ItemEnd::result).toList(), storedEvents);
	}

	private void onCommitted(JobId id, List<ItemEnd> ends, @Nullable Reply reply, @Nullable Throwable failure) {
		List<ItemEnd> waiting = ends.stream().filter((end) -> end.run().phase == ItemRun.Phase.COMMITTING).toList();
		if (reply instanceof Reply.Accepted) {
			waiting.forEach((end) -> end.run().phase = ItemRun.Phase.FINISHED);
			return;
		}
		LOGGER.atWarning()
			.log("event=results_not_committed job=%s items=%d reply=%s detail=\"%s\"", id.name(), ends.size(), reply,
					failure);
		if (reply instanceof Reply.Refused) {
			waiting.forEach((end) -> this.generateAgain.accept(end.run()));
			return;
		}
		waiting.forEach((end) -> this.uncommitted.computeIfAbsent(id, (absent) -> new ArrayList<>()).add(end));
		planCommit(COMMIT_RETRY_MS);
	}

	/** Stores what long items of a job have gained, so that another leader can go on. */
	void storeProgress(JobId id, Collection<ItemRun> runs) {
		List<ItemRun.Storing> storings = runs.stream()
			.filter(ItemRun::hasProgressToStore)
			.map(ItemRun::beginStoring)
			.toList();
		if (storings.isEmpty()) {
			return;
		}
		List<ItemProgress> progress = storings.stream().map(ItemRun.Storing::progress).toList();
		this.control.propose(new Command.RecordProgress(id, progress))
			.whenComplete((reply, failure) -> this.loop.execute(() -> {
				if (reply instanceof Reply.Accepted) {
					storings.forEach(ItemRun.Storing::succeed);
					return;
				}
				LOGGER.atInfo()
					.log("event=progress_not_stored job=%s items=%d reply=%s detail=\"%s\"", id.name(), storings.size(),
							reply, failure);
				storings.forEach(ItemRun.Storing::fail);
			}));
	}

}
