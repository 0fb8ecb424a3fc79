package org.zinniatack.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobCall;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.wire.Message;

/**
 * Reads of jobs for their callers: pages of results, which may wait for the first one,
 * and bodies of items.
 */
final class JobReads {

	/** The poll interval of waiting reads; a tenth of the delay that a caller notices. */
	private static final long RESULT_POLL_MS = 50;

	/** The most output in one page of results; callers accept up to a megabyte. */
	private static final long MAX_PAGE_BYTES = 900_000;

	private final ControlService control;

	private final ScheduledExecutorService timer;

	JobReads(ControlService control, ScheduledExecutorService timer) {
		this.control = control;
		this.timer = timer;
	}

	/**
	 * Reads a page of results linearizably, and waits for the first result if the page is
	 * empty and more are to come.
	 * @param read the job, the position of the page and how long to wait
	 */
	CompletableFuture<Message.JobPage> page(Message.ReadJob read) {
		long untilMs = this.control.nowMs() + read.waitMs();
		return this.control.readCurrent((state) -> pageOf(state, read))
			.thenCompose((page) -> waitForResults(read, page, untilMs));
	}

	private CompletableFuture<Message.JobPage> waitForResults(Message.ReadJob read, Message.JobPage page,
			long untilMs) {
		boolean done = !page.found() || !page.results().isEmpty() || read.position() >= page.itemCount();
		if (done || this.control.nowMs() >= untilMs) {
			return CompletableFuture.completedFuture(page);
		}
		Executor delayed = CompletableFuture.delayedExecutor(RESULT_POLL_MS, TimeUnit.MILLISECONDS, this.timer);
		return CompletableFuture.supplyAsync(() -> null, delayed)
			.thenCompose((waited) -> this.control.readApplied((state) -> pageOf(state, read)))
			.thenCompose((next) -> waitForResults(read, next, untilMs));
	}

	private static Message.JobPage pageOf(ControlState state, Message.ReadJob read) {
		return find(state, read.call())
			.map((job) -> new Message.JobPage(true, job.submission().items().size(),
					job.resultsFrom(read.position(), MAX_PAGE_BYTES)))
			.orElseGet(() -> new Message.JobPage(false, 0, List.of()));
	}

	private static Optional<Job> find(ControlState state, JobCall call) {
		try {
			return state.jobs().find(call);
		}
		catch (ServiceException ex) {
			throw new CompletionException(ex);
		}
	}

	/** Reads the body of an item that has no result, or null if there is none. */
	CompletableFuture<byte @Nullable []> itemBody(Message.ReadItem read) {
		return this.control.readCurrent(
				(state) -> find(state, read.call()).filter((job) -> !job.isEnded() && !job.isFinished(read.itemId()))
					.flatMap((job) -> job.item(read.itemId()))
					.map(JobItem::body)
					.orElse(null));
	}

}
