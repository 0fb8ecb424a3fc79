package org.zinniatack.gateway.job;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.ControlService;
import org.zinniatack.core.job.JobRetentionPolicy;
import org.zinniatack.core.state.Command;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;

/**
 * Removes jobs after their retention time, so that the replicated state stays bounded.
 */
final class JobRetention implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long INTERVAL_MS = 5_000;

	private final EventLoop loop;

	private final ControlService control;

	private final BooleanSupplier isLeader;

	private final JobRetentionPolicy policy;

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
		if (!this.isLeader.getAsBoolean()) {
			return;
		}
		long nowMs = System.currentTimeMillis();
		this.control
			.readApplied((state) -> state.jobs()
				.jobs()
				.stream()
				.filter((job) -> nowMs > this.policy.removableAtMs(job))
				.map((job) -> job.submission().id())
				.toList())
			.thenAccept((old) -> {
				if (!old.isEmpty()) {
					LOGGER.atInfo().log("event=jobs_forgotten count=%d", old.size());
					this.control.propose(new Command.RemoveJobs(old));
				}
			});
	}

}
