package org.zinniatack.gateway.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.Scoring;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteIndex;
import org.zinniatack.gateway.call.Call;
import org.zinniatack.gateway.call.CallDispatcher;
import org.zinniatack.gateway.call.CallSink;
import org.zinniatack.gateway.target.TargetProtocol;
import org.zinniatack.gateway.target.TargetSelector;

/**
 * Sends scoring calls for completed items. The items of a step complete in bursts, and
 * their scoring calls share targets with interactive callers, so they use only some of
 * the slots of a pool at once. Items of the jobs that are due first are scored first.
 */
final class ItemScorer {

	private static final long DEADLINE_MS = 2_000;

	private static final long MINIMUM_RETRY_MS = 100;

	private static final long MAXIMUM_RETRY_MS = 800;

	/** The share of the slots of a pool that scoring uses; the rest is for callers. */
	private static final double SLOT_SHARE = 0.5;

	private static final int MINIMUM_CALLS = 2;

	private final EventLoop loop;

	private final CallDispatcher dispatcher;

	private final TargetProtocol protocol;

	private final TargetSelector targets;

	private final Supplier<RouteIndex> routes;

	private final FinishHandler finishHandler;

	private final Map<String, Integer> callsByPool = new HashMap<>();

	private final List<ItemRun> waiting = new ArrayList<>();

	ItemScorer(EventLoop loop, CallDispatcher dispatcher, TargetProtocol protocol, TargetSelector targets,
			Supplier<RouteIndex> routes, FinishHandler finishHandler) {
		this.loop = loop;
		this.dispatcher = dispatcher;
		this.protocol = protocol;
		this.targets = targets;
		this.routes = routes;
		this.finishHandler = finishHandler;
	}

	/**
	 * Scores an item as soon as a slot is free. The item must be in the scoring phase.
	 */
	void score(ItemRun run) {
		this.waiting.add(run);
		run.canceller = () -> this.waiting.remove(run);
		callNext();
	}

	private void callNext() {
		this.waiting.sort(Comparator.comparingLong((ItemRun run) -> run.job.submittedAtMs() + run.job.deadlineMs())
			.thenComparingLong((run) -> run.generatedAtMs));
		for (ItemRun run : List.copyOf(this.waiting)) {
			Scoring scoring = run.item.scoring();
			if (scoring == null || run.phase != ItemRun.Phase.SCORING) {
				this.waiting.remove(run);
				continue;
			}
			Optional<Route> route = this.routes.get().routeOf(scoring.host(), scoring.path());
			if (route.isEmpty()) {
				this.waiting.remove(run);
				scoreLater(run);
				continue;
			}
			String pool = route.get().selectPool((scoring.id().hashCode() & 0xffff) / (double) 0x10000);
			if (this.callsByPool.getOrDefault(pool, 0) < callLimit(pool)) {
				this.waiting.remove(run);
				call(run, scoring, route.get(), pool);
			}
		}
	}

	private int callLimit(String pool) {
		int slots = this.targets.ready(pool).stream().mapToInt(TargetNotice::slotCount).sum();
		return Math.max(MINIMUM_CALLS, (int) (SLOT_SHARE * slots));
	}

	private void call(ItemRun run, Scoring scoring, Route route, String pool) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.HOST, scoring.host());
		this.protocol.setRequestId(headers, scoring.id());
		this.callsByPool.merge(pool, 1, Integer::sum);
		ScoreSink sink = new ScoreSink(run, route, pool);
		Runnable cancelCall = this.dispatcher.dispatch(new Call(scoring.id(), route, null, HttpMethod.POST,
				scoring.path(), headers, scoring.body(), DEADLINE_MS), sink);
		run.canceller = () -> {
			cancelCall.run();
			sink.end();
		};
	}

	private void scoreLater(ItemRun run) {
		run.canceller = () -> {
		};
		run.scoringRetryMs = Math.min(Math.max(MINIMUM_RETRY_MS, 2 * run.scoringRetryMs), MAXIMUM_RETRY_MS);
		this.loop.schedule(() -> {
			if (run.phase == ItemRun.Phase.SCORING) {
				score(run);
			}
		}, run.scoringRetryMs, TimeUnit.MILLISECONDS);
	}

	/** Callback for items that are scored or given up. */
	interface FinishHandler {

		/**
		 * Finishes an item.
		 * @param run the run of the item
		 * @param outcome its outcome
		 * @param reason the reason to log
		 */
		void finish(ItemRun run, ItemOutcome outcome, String reason);

	}

	/** Handles the answer of a scoring call. */
	private final class ScoreSink implements CallSink {

		private final ItemRun run;

		private final Route route;

		private final String pool;

		private boolean ended;

		ScoreSink(ItemRun run, Route route, String pool) {
			this.run = run;
			this.route = route;
			this.pool = pool;
		}

		void end() {
			if (!this.ended) {
				this.ended = true;
				ItemScorer.this.callsByPool.merge(this.pool, -1, Integer::sum);
				ItemScorer.this.loop.execute(ItemScorer.this::callNext);
			}
		}

		@Override
		public void answer(HttpResponse head, ByteBuf body) {
			body.release();
			end();
			Optional<String> seal = ItemScorer.this.protocol.seal(head);
			if (head.status().code() / 100 == 2 && seal.isPresent()) {
				ItemScorer.this.finishHandler.finish(this.run, this.run.outcome(seal.get()), "scored");
			}
			else if (this.run.scoringFailureCount >= maximumFailures()) {
				ItemScorer.this.finishHandler.finish(this.run, ItemOutcome.givenUp(this.run),
						"scoring failed " + this.run.scoringFailureCount + " times");
			}
			else {
				scoreLater(this.run);
			}
		}

		/** Both the route of the call and that of the item allow a number of attempts. */
		private int maximumFailures() {
			return ItemScorer.this.routes.get()
				.routeOf(this.run.job.host(), this.run.item.path())
				.map((itemRoute) -> Math.max(itemRoute.maximumAttempts(), this.route.maximumAttempts()))
				.orElse(this.route.maximumAttempts());
		}

		@Override
		public void attemptFailed(int status) {
			if (status == ItemAttempt.FAILED_STATUS) {
				this.run.scoringFailureCount++;
			}
		}

		@Override
		public void refuse(ResultCode code, long retryAfterMs) {
			end();
			scoreLater(this.run);
		}

		@Override
		public void beginStream(HttpResponse head) {
			refuse(ResultCode.TARGET_FAILED, 0);
		}

		@Override
		public boolean continueStream(ByteBuf content) {
			// The score is the seal in the head, and streams are refused by beginStream.
			return true;
		}

		@Override
		public void endStream() {
			// See continueStream.
		}

		@Override
		public void breakStream() {
			// See continueStream.
		}

		@Override
		public void executionStarted() {
			// Scoring calls do not count as usage of the customer.
		}

	}

}
