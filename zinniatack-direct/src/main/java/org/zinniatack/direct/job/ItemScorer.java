package org.zinniatack.direct.job;

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
import org.zinniatack.direct.call.Call;
import org.zinniatack.direct.call.CallDispatcher;
import org.zinniatack.direct.call.CallSink;
import org.zinniatack.direct.target.TargetDialect;
import org.zinniatack.direct.target.TargetSelector;

/**
 * Has the outputs of items scored. Items of a step end in bursts, and their scoring calls
 * share plain targets with callers who wait for an answer, so only some of the slots of
 * those targets are used at once; the jobs that are due first come first.
 */
final class ItemScorer {

	private static final long DEADLINE_MS = 2_000;

	private static final long RETRY_MS = 100;

	/** The only failures of a scoring call after which an item may be given up. */
	private static final int FAILED_STATUS = 500;

	/** The share of a pool's slots that scoring takes; the rest is for callers. */
	private static final double SLOT_SHARE = 0.5;

	private static final int FEWEST_CALLS = 2;

	private final EventLoop loop;

	private final CallDispatcher dispatcher;

	private final TargetDialect dialect;

	private final TargetSelector targets;

	private final Supplier<RouteIndex> routes;

	private final Outcome outcome;

	private final Map<String, Integer> callsByPool = new HashMap<>();

	private final List<ItemRun> waiting = new ArrayList<>();

	ItemScorer(EventLoop loop, CallDispatcher dispatcher, TargetDialect dialect, TargetSelector targets,
			Supplier<RouteIndex> routes, Outcome outcome) {
		this.loop = loop;
		this.dispatcher = dispatcher;
		this.dialect = dialect;
		this.targets = targets;
		this.routes = routes;
		this.outcome = outcome;
	}

	/**
	 * Has an item scored once there is room; its phase must say that it waits for that.
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
			if (this.callsByPool.getOrDefault(pool, 0) < limit(pool)) {
				this.waiting.remove(run);
				call(run, scoring, route.get(), pool);
			}
		}
	}

	private int limit(String pool) {
		int slots = this.targets.ready(pool).stream().mapToInt(TargetNotice::slotCount).sum();
		return Math.max(FEWEST_CALLS, (int) (SLOT_SHARE * slots));
	}

	private void call(ItemRun run, Scoring scoring, Route route, String pool) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.HOST, scoring.host());
		this.dialect.setRequestId(headers, scoring.id());
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
		this.loop.schedule(() -> {
			if (run.phase == ItemRun.Phase.SCORING) {
				score(run);
			}
		}, RETRY_MS, TimeUnit.MILLISECONDS);
	}

	/** What becomes of a scored item. */
	interface Outcome {

		/**
		 * Ends an item.
		 * @param run the item
		 * @param end how it ended
		 * @param reason the reason for the log
		 */
		void finish(ItemRun run, ItemEnd end, String reason);

	}

	/** Takes the answer of a scoring call. */
	private final class ScoreSink implements CallSink {

		private final ItemRun run;

		private final Route route;

		private final String pool;

		private boolean over;

		ScoreSink(ItemRun run, Route route, String pool) {
			this.run = run;
			this.route = route;
			this.pool = pool;
		}

		void end() {
			if (!this.over) {
				this.over = true;
				ItemScorer.this.callsByPool.merge(this.pool, -1, Integer::sum);
				ItemScorer.this.loop.execute(ItemScorer.this::callNext);
			}
		}

		@Override
		public void answer(HttpResponse head, ByteBuf body) {
			body.release();
			end();
			Optional<String> seal = ItemScorer.this.dialect.seal(head);
			if (head.status().code() / 100 == 2 && seal.isPresent()) {
				ItemScorer.this.outcome.finish(this.run, this.run.end(seal.get()), "scored");
			}
			else if (this.run.scoringFailureCount >= this.route.maximumAttempts()) {
				ItemScorer.this.outcome.finish(this.run, ItemEnd.givenUp(this.run),
						"scoring failed " + this.run.scoringFailureCount + " times");
			}
			else {
				scoreLater(this.run);
			}
		}

		@Override
		public void attemptFailed(int status) {
			if (status == FAILED_STATUS) {
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
			// A score is the head's seal; a stream has none that counts.
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
			// Scoring calls are not use of a customer.
		}

	}

}
