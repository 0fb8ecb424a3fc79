package org.zinniatack.gateway.job;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.ControlService;
import org.zinniatack.core.job.AppliedIndexes;
import org.zinniatack.core.job.EarlyEnds;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobRetentionPolicy;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;

/**
 * Removes jobs after their retention time and the ends of jobs that were never submitted,
 * so that the replicated state stays bounded.
 */
final class JobRetention implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long INTERVAL_MS = 5_000;

	private final EventLoop loop;

	private final ControlService control;

	private final BooleanSupplier isLeader;

	private final JobRetentionPolicy policy;

	private final AppliedIndexes appliedIndexes = new AppliedIndexes(EarlyEnds.MEMORY_MS);

	private @Nullable Future<?> removalTask;

	/**
	 * Returns a service that is not started.
	 * @param loop the event loop
	 * @param control the service that holds the jobs
	 * @param isLeader returns whether this process is the leader
	 * @param retentionMs the time for which a job can be read after its submission, in
	 * milliseconds
	 */
	JobRetention(EventLoop loop, ControlService control, BooleanSupplier isLeader, long retentionMs) {
		this.loop = loop;
		this.control = control;
		this.isLeader = isLeader;
		this.policy = new JobRetentionPolicy(retentionMs);
	}

	@Override
	public void start() {
		this.removalTask = this.loop.scheduleWithFixedDelay(ProcessEnd.halt().guard("retention", this::removeOldJobs),
				INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		if (this.removalTask != null) {
			this.removalTask.cancel(false);
		}
	}

	private void removeOldJobs() {
		this.control.readApplied(this::due).thenAccept((due) -> this.loop.execute(() -> remove(due)));
	}

	private Due due(ControlState state) {
		long nowMs = System.currentTimeMillis();
		List<JobId> old = state.jobs()
			.jobs()
			.stream()
			.filter((job) -> nowMs > this.policy.removableAtMs(job))
			.map((job) -> job.submission().id())
			.toList();
		return new Due(state.appliedIndex(), old, state.jobs().earlyEnds().oldestIndex());
	}

	private void remove(Due due) {
		// Read after the state, so that the index is at least as old.
		long nowMs = TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
		this.appliedIndexes.record(due.appliedIndex(), nowMs);
		long forgettableIndex = this.appliedIndexes.oldEnough(nowMs);
		boolean endsDue = due.oldestEndIndex().orElse(Long.MAX_VALUE) <= forgettableIndex;
		if (this.isLeader.getAsBoolean() && (endsDue || !due.jobs().isEmpty())) {
			LOGGER.atInfo().log("event=jobs_forgotten count=%d ends_through=%d", due.jobs().size(), forgettableIndex);
			this.control.propose(new Command.RemoveJobs(due.jobs(), forgettableIndex));
		}
	}

	/**
	 * What may be removed from the state.
	 *
	 * @param appliedIndex the log index of the last command in the state
	 * @param jobs the jobs whose retention has ended
	 * @param oldestEndIndex the log index of the oldest remembered end, empty for none
	 */
	private record Due(long appliedIndex, List<JobId> jobs, OptionalLong oldestEndIndex) {
	}

}
