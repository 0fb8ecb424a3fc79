package org.zinniatack.direct.job;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.ControlService;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.state.Command;
import org.zinniatack.process.Service;

/**
 * Forgets jobs that nobody may read any more, so that the log's state stays bounded.
 */
final class JobRetention implements Service {

	/** Clocks of control processes differ by less. */
	static final long CLOCK_MARGIN_MS = 6_000;

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long INTERVAL_MS = 5_000;

	/** A job that its caller never ended is kept longer, but not for good. */
	private static final int ABANDONED_FACTOR = 10;

	private final EventLoop loop;

	private final ControlService control;

	private final BooleanSupplier leads;

	private final long retentionMs;

	private @Nullable Future<?> forgetting;

	/**
	 * Returns a service that is not started.
	 * @param loop the event loop
	 * @param control the control process
	 * @param leads tells whether this process leads
	 * @param retentionMs the time for which a job can be read after its submission, in
	 * milliseconds
	 */
	JobRetention(EventLoop loop, ControlService control, BooleanSupplier leads, long retentionMs) {
		this.loop = loop;
		this.control = control;
		this.leads = leads;
		this.retentionMs = retentionMs;
	}

	@Override
	public void start() {
		this.forgetting = this.loop.scheduleWithFixedDelay(this::forgetOldJobs, INTERVAL_MS, INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		if (this.forgetting != null) {
			this.forgetting.cancel(false);
		}
	}

	private void forgetOldJobs() {
		if (!this.leads.getAsBoolean()) {
			return;
		}
		long nowMs = System.currentTimeMillis();
		this.control
			.readApplied((state) -> state.jobs()
				.jobs()
				.stream()
				.filter((job) -> isForgettable(job, nowMs))
				.map((job) -> job.submission().id())
				.toList())
			.thenAccept((old) -> {
				if (!old.isEmpty()) {
					LOGGER.atInfo().log("event=jobs_forgotten count=%d", old.size());
					this.control.propose(new Command.RemoveJobs(old));
				}
			});
	}

	private boolean isForgettable(Job job, long nowMs) {
		long ageMs = nowMs - job.submission().submittedAtMs();
		long keptMs = job.isEnded() ? this.retentionMs : ABANDONED_FACTOR * this.retentionMs;
		return ageMs > keptMs + CLOCK_MARGIN_MS;
	}

}
