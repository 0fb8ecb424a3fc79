package org.zinniatack.direct.call;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.direct.http.RequestFailure;
import org.zinniatack.direct.http.ResponseListener;
import org.zinniatack.direct.http.TargetClient;
import org.zinniatack.direct.target.TargetDialect;
import org.zinniatack.direct.target.TargetDialect.RequestOutcome;
import org.zinniatack.direct.target.TargetSelector;
import org.zinniatack.direct.target.TargetStats;

/**
 * Sends calls to targets. A call that may be repeated is tried at further targets when
 * one is lost, fails or is slow; any other only when the target says that it did not run
 * it. All methods must be called on the event loop.
 */
public final class CallDispatcher {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** The shortest wait before a second target is asked; most answers are faster. */
	private static final long SHORTEST_HEDGE_MS = 150;

	/** How long a target that refused is left alone, and callers with it. */
	private static final long REFUSAL_PAUSE_MS = 200;

	/** A target answers at its own deadline; its answer keeps the connection in use. */
	private static final long ANSWER_MARGIN_MS = 80;

	/**
	 * The longest answer that is passed on whole: a thirteenth of the heap that an entry
	 * process of the smallest VM has.
	 */
	static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

	/**
	 * What answers that are not whole yet may hold at once, under a third of that heap:
	 * buffers that grow take up to twice their bytes.
	 */
	static final int MAXIMUM_BUFFERED_BYTES = 32 * 1024 * 1024;

	/** An answer of this size is held however many others are. */
	private static final int USUAL_BODY_BYTES = 64 * 1024;

	/** The way back to the caller. */
	private static final long RETURN_MS = 20;

	private final EventLoop loop;

	private final TargetClient client;

	private final TargetDialect dialect;

	private final TargetSelector targets;

	private long bufferedBytes;

	/**
	 * Returns a dispatcher.
	 * @param loop the event loop
	 * @param client the connections to targets
	 * @param dialect how targets are spoken to
	 * @param targets the choice of targets
	 */
	public CallDispatcher(EventLoop loop, TargetClient client, TargetDialect dialect, TargetSelector targets) {
		this.loop = loop;
		this.client = client;
		this.dialect = dialect;
		this.targets = targets;
	}

	/**
	 * Runs a call.
	 * @param call the call
	 * @param sink who receives the outcome
	 * @return an action that gives the call up; the sink hears nothing more
	 */
	public Runnable dispatch(Call call, CallSink sink) {
		Run run = new Run(call, sink);
		run.start();
		return run::cancel;
	}

	/** Returns the bytes of answers that are held until they are whole. */
	long bufferedBytes() {
		return this.bufferedBytes;
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	/** One call with all its attempts. */
	private final class Run {

		private final Call call;

		private final CallSink sink;

		private final long startedAtMs = nowMs();

		/** When targets are to stop. */
		private final long endsAtMs;

		/** When the call is given up. */
		private final long givenUpAtMs;

		private final Set<String> tried = new HashSet<>();

		private final Set<Attempt> running = new LinkedHashSet<>();

		private int sentCount;

		private boolean mayHaveRun;

		private boolean over;

		private boolean streaming;

		private boolean begun;

		private @Nullable Answer lastFailure;

		private @Nullable Future<?> timeout;

		private @Nullable Future<?> hedge;

		Run(Call call, CallSink sink) {
			this.call = call;
			this.sink = sink;
			this.endsAtMs = this.startedAtMs
					+ Math.min(Math.max(1, call.deadlineMs() - RETURN_MS), call.route().timeoutMs());
			this.givenUpAtMs = this.startedAtMs
					+ Math.min(call.deadlineMs(), call.route().timeoutMs() + ANSWER_MARGIN_MS);
		}

		void start() {
			this.timeout = CallDispatcher.this.loop.schedule(this::timeOut, Math.max(0, this.givenUpAtMs - nowMs()),
					TimeUnit.MILLISECONDS);
			if (!sendNext()) {
				refuse(ResultCode.NO_TARGET, REFUSAL_PAUSE_MS);
			}
		}

		/**
		 * Sends to a further target; returns false if there is none or no attempt left.
		 */
		private boolean sendNext() {
			if (this.sentCount >= this.call.route().maximumAttempts() || nowMs() >= this.endsAtMs) {
				return false;
			}
			double point = (this.call.requestId().hashCode() & 0xffff) / (double) 0x10000;
			Optional<TargetNotice> target = CallDispatcher.this.targets.choose(this.call.route().selectPool(point),
					this.tried, nowMs());
			target.ifPresent(this::send);
			return target.isPresent();
		}

		private void send(TargetNotice target) {
			this.tried.add(target.id());
			this.sentCount++;
			Attempt attempt = new Attempt(this, target);
			this.running.add(attempt);
			attempt.start();
			planHedge();
		}

		private void planHedge() {
			if (this.hedge != null) {
				this.hedge.cancel(false);
			}
			if (this.call.route().kind() == RouteKind.IDEMPOTENT) {
				long delayMs = Math.max(SHORTEST_HEDGE_MS, this.call.route().targetLatencyMs());
				this.hedge = CallDispatcher.this.loop.schedule(this::sendHedge, delayMs, TimeUnit.MILLISECONDS);
			}
		}

		private void sendHedge() {
			if (!this.over && !this.streaming && sendNext()) {
				log("hedged", ResultCode.OK);
			}
		}

		private void timeOut() {
			if (this.over) {
				return;
			}
			this.running.forEach((attempt) -> attempt.stats.recordUnreachable(nowMs()));
			if (this.streaming) {
				breakStream();
				return;
			}
			refuse((this.mayHaveRun || !this.running.isEmpty()) ? ResultCode.DEADLINE_EXCEEDED : ResultCode.NO_TARGET,
					REFUSAL_PAUSE_MS);
		}

		void executionStarted() {
			if (!this.begun) {
				this.begun = true;
				this.sink.executionStarted();
			}
		}

		void onNotRun(Attempt attempt) {
			this.running.remove(attempt);
			if (!this.over && this.running.isEmpty() && !sendNext()) {
				giveUp();
			}
		}

		void onLost(Attempt attempt, boolean ranMaybe) {
			this.running.remove(attempt);
			this.mayHaveRun |= ranMaybe;
			if (this.over) {
				return;
			}
			boolean repeatable = !this.mayHaveRun || this.call.route().kind().isRepeatable();
			if (this.running.isEmpty() && !(repeatable && sendNext())) {
				giveUp();
			}
		}

		void onFailed(Attempt attempt, Answer answer) {
			this.running.remove(attempt);
			this.mayHaveRun = true;
			if (this.over) {
				answer.body().release();
				return;
			}
			this.sink.attemptFailed(answer.head().status().code());
			if (!this.call.route().kind().isRepeatable()) {
				finish(answer);
				return;
			}
			keepFailure(answer);
			if (this.running.isEmpty() && !sendNext()) {
				giveUp();
			}
		}

		private void keepFailure(Answer answer) {
			if (this.lastFailure != null) {
				this.lastFailure.body().release();
			}
			this.lastFailure = answer;
		}

		void onAnswered(Attempt attempt, Answer answer) {
			this.running.remove(attempt);
			if (this.over) {
				answer.body().release();
				return;
			}
			finish(answer);
		}

		/** Ends the call with what is known once no target is left to ask. */
		private void giveUp() {
			Answer failure = this.lastFailure;
			if (failure != null) {
				this.lastFailure = null;
				finish(failure);
			}
			else if (this.mayHaveRun) {
				refuse(ResultCode.OUTCOME_UNKNOWN, 0);
			}
			else {
				refuse((this.sentCount > 0) ? ResultCode.TARGET_BUSY : ResultCode.NO_TARGET, REFUSAL_PAUSE_MS);
			}
		}

		private void finish(Answer answer) {
			end();
			log("answered", ResultCode.OK);
			this.sink.answer(answer.head(), answer.body());
		}

		private void refuse(ResultCode code, long retryAfterMs) {
			end();
			log("refused", code);
			this.sink.refuse(code, retryAfterMs);
		}

		/** Passes a stream on from the only attempt that may be running. */
		void beginStream(HttpResponse head) {
			this.streaming = true;
			this.sink.beginStream(head);
		}

		void endStream() {
			end();
			log("answered", ResultCode.OK);
			this.sink.endStream();
		}

		void breakStream() {
			end();
			log("broken", ResultCode.ANSWER_CUT_SHORT);
			this.sink.breakStream();
		}

		void cancel() {
			if (!this.over) {
				end();
				log("abandoned", ResultCode.OUTCOME_UNKNOWN);
			}
		}

		private void end() {
			this.over = true;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			if (this.hedge != null) {
				this.hedge.cancel(false);
			}
			if (this.lastFailure != null) {
				this.lastFailure.body().release();
				this.lastFailure = null;
			}
			List.copyOf(this.running).forEach(Attempt::cancel);
			this.running.clear();
		}

		private void log(String outcome, ResultCode code) {
			LOGGER.atInfo()
				.log("event=call_%s request=%s route=%s customer=%s code=%d sent=%d targets=%s elapsed_ms=%d", outcome,
						this.call.requestId(), this.call.route().name(), this.call.customer(), code.number(),
						this.sentCount, this.tried, nowMs() - this.startedAtMs);
		}

	}

	/**
	 * A target's whole answer.
	 *
	 * @param head the status and headers
	 * @param body the body
	 */
	private record Answer(HttpResponse head, ByteBuf body) {
	}

	/** One sending of a call to one target. */
	private final class Attempt implements ResponseListener {

		private final Run run;

		private final TargetNotice target;

		private final TargetStats stats;

		/** Copied, since pieces of a few bytes would each keep a whole buffer. */
		private final ByteBuf body = Unpooled.buffer(0, MAXIMUM_BODY_BYTES);

		private @Nullable RequestOutcome verdict;

		private Runnable canceller = () -> {
		};

		private boolean over;

		Attempt(Run run, TargetNotice target) {
			this.run = run;
			this.target = target;
			this.stats = CallDispatcher.this.targets.stats(target.id());
		}

		void start() {
			Call call = this.run.call;
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
					Unpooled.wrappedBuffer(call.body()));
			request.headers().set(call.headers());
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
			CallDispatcher.this.dialect.setSystemHeaders(request.headers(), new TargetDialect.RequestContext(
					this.target.id(), call.customer(), Math.max(1, this.run.endsAtMs - nowMs()), 0));
			this.stats.recordSent();
			this.canceller = CallDispatcher.this.client.send(this.target.address(), request, this);
		}

		void cancel() {
			if (!this.over) {
				end();
				this.body.release();
				this.canceller.run();
			}
		}

		private void end() {
			this.over = true;
			this.stats.recordFinished();
			CallDispatcher.this.bufferedBytes -= this.body.readableBytes();
		}

		@Override
		public void onHead(HttpResponse head) {
			this.verdict = CallDispatcher.this.dialect.outcome(head);
			CallDispatcher.this.dialect.reportedLoad(head).ifPresent((load) -> this.stats.recordLoad(load, nowMs()));
			if (CallDispatcher.this.dialect.isLeaving(head)) {
				CallDispatcher.this.targets.markLeaving(this.target);
			}
			if (this.verdict == RequestOutcome.ANSWERED || this.verdict == RequestOutcome.FAILED) {
				this.run.executionStarted();
			}
			if (this.verdict == RequestOutcome.ANSWERED && this.run.call.route().kind() == RouteKind.STREAM) {
				this.run.beginStream(head);
			}
		}

		@Override
		public long maximumBodyBytes() {
			return this.run.streaming ? Long.MAX_VALUE : MAXIMUM_BODY_BYTES;
		}

		@Override
		public void onContent(ByteBuf content) {
			if (this.run.streaming) {
				if (!this.run.sink.continueStream(content)) {
					this.run.breakStream();
				}
			}
			else if (canHold(content.readableBytes())) {
				CallDispatcher.this.bufferedBytes += content.readableBytes();
				this.body.writeBytes(content);
			}
			else {
				loseForLackOfRoom();
			}
		}

		private boolean canHold(int bytes) {
			return this.body.readableBytes() + bytes <= USUAL_BODY_BYTES
					|| CallDispatcher.this.bufferedBytes + bytes <= MAXIMUM_BUFFERED_BYTES;
		}

		private void loseForLackOfRoom() {
			this.canceller.run();
			onFailure(new RequestFailure(true,
					"answers of " + CallDispatcher.this.bufferedBytes + " bytes are held already"));
		}

		@Override
		public void onEnd(HttpResponse head) {
			end();
			if (this.run.streaming) {
				this.stats.recordSuccess();
				this.body.release();
				this.run.endStream();
				return;
			}
			RequestOutcome said = (this.verdict != null) ? this.verdict : RequestOutcome.FAILED;
			switch (said) {
				case ANSWERED -> {
					this.stats.recordSuccess();
					this.run.onAnswered(this, new Answer(head, this.body));
				}
				case FAILED -> {
					this.stats.recordFailure();
					this.run.onFailed(this, new Answer(head, this.body));
				}
				case NOT_RUN -> {
					this.body.release();
					this.stats.avoidUntil(nowMs() + REFUSAL_PAUSE_MS);
					this.run.onNotRun(this);
				}
				case WRONG_TARGET -> {
					this.body.release();
					this.stats.recordUnreachable(nowMs());
					this.run.onNotRun(this);
				}
			}
		}

		@Override
		public void onFailure(RequestFailure failure) {
			end();
			this.body.release();
			LOGGER.atInfo()
				.log("event=attempt_lost request=%s target=%s may_have_run=%s detail=\"%s\"", this.run.call.requestId(),
						this.target.id(), failure.mayHaveRun(), failure.detail());
			this.stats.recordUnreachable(nowMs());
			if (this.run.streaming) {
				this.run.breakStream();
			}
			else {
				this.run.onLost(this, failure.mayHaveRun());
			}
		}

	}

}
