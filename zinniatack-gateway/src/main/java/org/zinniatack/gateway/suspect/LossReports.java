package org.zinniatack.gateway.suspect;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.SuspectedRequests;
import org.zinniatack.core.state.Suspicion;

/**
 * Reports lost and answered requests to control, several in one command and one command
 * at a time. All methods must be called on the event loop.
 */
final class LossReports {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** A target that ends loses all of its requests within this time. */
	private static final long COLLECT_MS = 20;

	private static final long MINIMUM_INTERVAL_MS = 200;

	private static final long RETRY_MS = 500;

	/** Bounds the command; the rest follows in the next one. */
	private static final int MAXIMUM_PER_REPORT = 256;

	private final EventLoop loop;

	private final Function<Command, CompletableFuture<?>> proposer;

	private SuspectedRequests losses = new SuspectedRequests();

	private final Set<String> answered = new LinkedHashSet<>();

	private boolean scheduled;

	private long lastSentAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates reports without content.
	 * @param loop the event loop
	 * @param proposer sends a command to control; the result completes on any thread
	 */
	LossReports(EventLoop loop, Function<Command, CompletableFuture<?>> proposer) {
		this.loop = loop;
		this.proposer = proposer;
	}

	void addLoss(Suspicion loss) {
		this.losses.add(loss);
		schedule(COLLECT_MS);
	}

	/** Adds an answer, which also ends the report of earlier losses of the request. */
	void addAnswer(String digest) {
		this.losses.remove(digest);
		if (this.answered.size() < SuspectedRequests.MAXIMUM_REQUESTS) {
			this.answered.add(digest);
		}
		schedule(COLLECT_MS);
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private void schedule(long delayMs) {
		if (!this.scheduled) {
			this.scheduled = true;
			long pauseMs = this.lastSentAtMs + MINIMUM_INTERVAL_MS - nowMs();
			this.loop.schedule(this::send, Math.max(delayMs, pauseMs), TimeUnit.MILLISECONDS);
		}
	}

	private void send() {
		List<Suspicion> sentLosses = this.losses.all().stream().limit(MAXIMUM_PER_REPORT).toList();
		List<String> sentAnswers = this.answered.stream().limit(MAXIMUM_PER_REPORT).toList();
		sentLosses.forEach((loss) -> this.losses.remove(loss.digest()));
		sentAnswers.forEach(this.answered::remove);
		this.lastSentAtMs = nowMs();
		if (sentLosses.isEmpty() && sentAnswers.isEmpty()) {
			this.scheduled = false;
			return;
		}
		this.proposer.apply(Command.ReportCrash.ofLosses(sentAnswers, sentLosses))
			.whenComplete((reply, failure) -> this.loop.execute(() -> onSent(sentAnswers, sentLosses, failure)));
	}

	private void onSent(List<String> sentAnswers, List<Suspicion> sentLosses, @Nullable Throwable failure) {
		this.scheduled = false;
		if (failure != null) {
			LOGGER.atInfo()
				.log("event=losses_not_reported losses=%d answers=%d retry_ms=%d detail=\"%s\"", sentLosses.size(),
						sentAnswers.size(), RETRY_MS, failure.getMessage());
			restore(sentAnswers, sentLosses);
		}
		if (!this.losses.all().isEmpty() || !this.answered.isEmpty()) {
			schedule((failure != null) ? RETRY_MS : COLLECT_MS);
		}
	}

	/** Puts a report back in front of what was added since. */
	private void restore(List<String> sentAnswers, List<Suspicion> sentLosses) {
		SuspectedRequests all = SuspectedRequests
			.of(sentLosses.stream().filter((loss) -> !this.answered.contains(loss.digest())).toList());
		this.losses.all().forEach(all::add);
		this.losses = all;
		sentAnswers.forEach(this.answered::add);
	}

}
