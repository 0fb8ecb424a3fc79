package org.zinniatack.gateway.call;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
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
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.queue.CallQueue;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.state.RequestIdentity;
import org.zinniatack.core.state.SuspectedRequests.Standing;
import org.zinniatack.core.stream.StreamOrigin;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.http.RequestFailure;
import org.zinniatack.gateway.http.ResponseListener;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.target.TargetPaces;
import org.zinniatack.gateway.target.TargetProtocol;
import org.zinniatack.gateway.target.TargetProtocol.RequestOutcome;
import org.zinniatack.gateway.target.TargetSelector;
import org.zinniatack.gateway.target.TargetStats;

/**
 * Sends calls over HTTP directly to targets, without a queue and without agents. A call
 * that may be repeated is retried on further targets when a target is lost, fails or is
 * slow. Any other call is retried only if the target states that it did not run it. All
 * methods must be called on the event loop.
 */
public final class CallDispatcher {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** The shortest delay before a hedged request; most responses arrive sooner. */
	private static final long MINIMUM_HEDGE_DELAY_MS = 150;

	/**
	 * The pause before a target that refused gets requests again; also the callers' retry
	 * delay.
	 */
	private static final long REFUSAL_PAUSE_MS = 200;

	/**
	 * Time for the response that a target sends at its own deadline; receiving it keeps
	 * the connection reusable.
	 */
	private static final long TARGET_RESPONSE_MARGIN_MS = 80;

	/**
	 * The longest response body that is buffered: a thirteenth of the heap of an entry
	 * process on the smallest VM.
	 */
	static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

	/**
	 * The limit on all incomplete responses together, under a third of that heap because
	 * a growing buffer takes up to twice its bytes.
	 */
	static final int MAXIMUM_BUFFERED_BYTES = 32 * 1024 * 1024;

	/** A response up to this size is buffered even if the limit on all is reached. */
	private static final int ALWAYS_BUFFERED_BYTES = 64 * 1024;

	/** A control process that takes longer to tell where a stream began is of no use. */
	private static final long LONGEST_LOOKUP_MS = 800;

	/** Reserved for the way of the response back to the caller. */
	private static final long RETURN_MARGIN_MS = 20;

	private final EventLoop loop;

	private final TargetClient client;

	private final TargetProtocol protocol;

	private final TargetSelector targets;

	private final CrashGuard crashGuard;

	private final QueueingPolicy queueing;

	private final WaitingCalls waitingCalls;

	private final StreamRegistry streams;

	private final Set<PendingCall> pendingCalls = new LinkedHashSet<>();

	/** The calls of which it is being found out where their streams began. */
	private final Set<PendingTakeUp> pendingTakeUps = new LinkedHashSet<>();

	private long bufferedBytes;

	/**
	 * Creates a dispatcher that suspects no call of crashing targets.
	 * @param loop the event loop
	 * @param client the connections to targets
	 * @param protocol the HTTP protocol of the targets
	 * @param targets selects the target of each attempt
	 */
	public CallDispatcher(EventLoop loop, TargetClient client, TargetProtocol protocol, TargetSelector targets) {
		this(loop, client, protocol, targets, CrashGuard.NONE);
	}

	/**
	 * Creates a dispatcher that refuses calls at once if no target takes them.
	 * @param loop the event loop
	 * @param client the connections to targets
	 * @param protocol the HTTP protocol of the targets
	 * @param targets selects the target of each attempt
	 * @param crashGuard knows which calls may crash targets
	 */
	public CallDispatcher(EventLoop loop, TargetClient client, TargetProtocol protocol, TargetSelector targets,
			CrashGuard crashGuard) {
		this(loop, client, protocol, targets, crashGuard, QueueingPolicy.never());
	}

	/**
	 * Creates a dispatcher that resumes no stream for its caller.
	 * @param loop the event loop
	 * @param client the connections to targets
	 * @param protocol the HTTP protocol of the targets
	 * @param targets selects the target of each attempt
	 * @param crashGuard knows which calls may crash targets
	 * @param queueing decides which calls wait for a target with room
	 */
	public CallDispatcher(EventLoop loop, TargetClient client, TargetProtocol protocol, TargetSelector targets,
			CrashGuard crashGuard, QueueingPolicy queueing) {
		this(loop, client, protocol, targets, crashGuard, queueing, StreamRegistry.NONE);
	}

	/**
	 * Creates a dispatcher.
	 * @param loop the event loop
	 * @param client the connections to targets
	 * @param protocol the HTTP protocol of the targets
	 * @param targets selects the target of each attempt
	 * @param crashGuard knows which calls may crash targets
	 * @param queueing decides which calls wait for a target with room
	 * @param streams knows where streams began
	 */
	public CallDispatcher(EventLoop loop, TargetClient client, TargetProtocol protocol, TargetSelector targets,
			CrashGuard crashGuard, QueueingPolicy queueing, StreamRegistry streams) {
		this.streams = streams;
		this.loop = loop;
		this.client = client;
		this.protocol = protocol;
		this.targets = targets;
		this.crashGuard = crashGuard;
		this.queueing = queueing;
		this.waitingCalls = new WaitingCalls(loop, (pool) -> !targets.ready(pool).isEmpty());
	}

	/**
	 * Starts a call.
	 * @param call the call
	 * @param sink receives the outcome
	 * @return an action that cancels the call, after which the sink is not called again
	 */
	public Runnable dispatch(Call call, CallSink sink) {
		if (call.takesUpStream()) {
			PendingTakeUp takeUp = new PendingTakeUp(call, sink);
			this.pendingTakeUps.add(takeUp);
			takeUp.start();
			return takeUp::cancel;
		}
		return start(new PendingCall(call, sink, nowMs(), null));
	}

	private Runnable start(PendingCall pending) {
		this.pendingCalls.add(pending);
		pending.start();
		return pending::cancel;
	}

	/**
	 * Ends all calls with the outcome known so far, because the process stops. Streams
	 * that have begun are broken.
	 */
	public void endAll() {
		List.copyOf(this.pendingTakeUps).forEach((takeUp) -> takeUp.refuse(ResultCode.SHUTTING_DOWN));
		List.copyOf(this.pendingCalls).forEach(PendingCall::endAtStop);
	}

	/**
	 * Offers the waiting calls to targets, because one may have become usable.
	 */
	public void offerWaitingCalls() {
		this.waitingCalls.offerAll();
	}

	/**
	 * Returns the number of calls that wait for a target with room.
	 * @return the count
	 */
	public int waitingCount() {
		return this.waitingCalls.count();
	}

	/**
	 * Sets the observer of calls that wait.
	 * @param observer accepts the measurements
	 */
	public void observeWaits(WaitObserver observer) {
		this.waitingCalls.observe(observer);
	}

	/** Returns the bytes of incomplete responses that are buffered. */
	long bufferedBytes() {
		return this.bufferedBytes;
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	/** A call that waits until it is known where the stream began that it takes up. */
	private final class PendingTakeUp {

		private final Call call;

		private final CallSink sink;

		private final long startedAtMs = nowMs();

		private boolean over;

		private Runnable canceller = () -> {
		};

		PendingTakeUp(Call call, CallSink sink) {
			this.call = call;
			this.sink = sink;
		}

		void start() {
			CallDispatcher.this.loop.schedule(() -> refuse(ResultCode.STREAM_NOT_CONTINUABLE),
					Math.max(0, Math.min(LONGEST_LOOKUP_MS, this.call.deadlineMs() - RETURN_MARGIN_MS)),
					TimeUnit.MILLISECONDS);
			CallDispatcher.this.streams.find(this.call)
				.exceptionally((failure) -> Optional.empty())
				.thenAccept((origin) -> CallDispatcher.this.loop.execute(() -> onFound(origin)));
		}

		private void onFound(Optional<StreamOrigin> origin) {
			if (this.over) {
				return;
			}
			TakeUp takeUp = Objects.requireNonNull(this.call.takeUp());
			boolean continuable = origin.isPresent() && serves(origin.get().pool())
					&& CallDispatcher.this.targets.ready(origin.get().pool())
						.stream()
						.anyMatch((target) -> target.softwareVersion().equals(origin.get().softwareVersion()));
			LOGGER.atInfo()
				.log("event=stream_taken_up request=%s attempt=%s after_event=%s origin=%s continuable=%b lookup_ms=%d",
						this.call.requestId(), takeUp.attemptId(), takeUp.lastEventId(),
						origin.map(Object::toString).orElse("unknown"), continuable, nowMs() - this.startedAtMs);
			if (!continuable) {
				refuse(ResultCode.STREAM_NOT_CONTINUABLE);
				return;
			}
			end();
			this.canceller = CallDispatcher.this
				.start(new PendingCall(this.call, this.sink, this.startedAtMs, origin.get()));
		}

		private boolean serves(String pool) {
			return this.call.route()
				.shares()
				.stream()
				.anyMatch((share) -> share.weight() > 0 && share.pool().equals(pool));
		}

		void refuse(ResultCode code) {
			if (!this.over) {
				end();
				LOGGER.atInfo()
					.log("event=call_refused request=%s route=%s customer=%s code=%d", this.call.requestId(),
							this.call.route().name(), this.call.customer(), code.number());
				this.sink.refuse(code, REFUSAL_PAUSE_MS);
			}
		}

		private void end() {
			this.over = true;
			CallDispatcher.this.pendingTakeUps.remove(this);
		}

		void cancel() {
			end();
			this.canceller.run();
		}

	}

	/** The state of one call and its attempts. */
	private final class PendingCall implements WaitingCalls.WaitingCall {

		private final Call call;

		private final String pool;

		private final boolean mayWait;

		private final WaitingCalls.Details details;

		private final RequestIdentity identity;

		private final CallSink sink;

		private final CallStream stream;

		private final long startedAtMs;

		/** The deadline given to targets. */
		private final long targetDeadlineMs;

		/** The time at which the call is refused or its stream broken. */
		private final long callDeadlineMs;

		private final AttemptedTargets attemptedTargets = new AttemptedTargets();

		private final Set<Attempt> runningAttempts = new LinkedHashSet<>();

		private int sentCount;

		private boolean waiting;

		/** The target for which the call leaves the queue. */
		private @Nullable TargetNotice chosenTarget;

		private boolean mayHaveRun;

		private boolean finished;

		private boolean executionReported;

		private boolean begunRecorded;

		/** The target whose response the caller gets, or empty without a response. */
		private String answeringTargetId = "";

		/** The status of that response, or 0. */
		private int answerStatus;

		private @Nullable FullResponse lastFailure;

		private @Nullable Future<?> timeout;

		private @Nullable Future<?> hedge;

		/**
		 * Creates a call.
		 * @param origin where the stream began that the call takes up, or null
		 */
		PendingCall(Call call, CallSink sink, long startedAtMs, @Nullable StreamOrigin origin) {
			this.call = call;
			this.startedAtMs = startedAtMs;
			double hashPoint = (call.requestId().hashCode() & 0xffff) / (double) 0x10000;
			this.pool = (origin != null) ? origin.pool() : call.route().selectPool(hashPoint);
			if (origin != null) {
				this.attemptedTargets.requireSoftwareVersion(origin.softwareVersion());
			}
			else if (call.route().kind() == RouteKind.STREAM && call.route().resumable()) {
				this.attemptedTargets.allowOnly(CallDispatcher.this.streams::mayBeginAt);
			}
			this.mayWait = CallDispatcher.this.queueing.mayWait(call.route(), this.pool);
			this.identity = call.identity();
			this.sink = sink;
			this.stream = new CallStream(sink);
			this.targetDeadlineMs = this.startedAtMs
					+ Math.min(call.deadlineMs() - RETURN_MARGIN_MS, call.route().timeoutMs());
			this.details = new WaitingCalls.Details(
					call.requestId(), this.pool, new CallQueue.Claim(call.rank(),
							Objects.requireNonNullElse(call.customer(), ""), this.startedAtMs, this.targetDeadlineMs),
					call.body().length);
			this.callDeadlineMs = this.startedAtMs
					+ Math.min(call.deadlineMs(), call.route().timeoutMs() + TARGET_RESPONSE_MARGIN_MS);
		}

		void start() {
			Standing standing = CallDispatcher.this.crashGuard.standing(this.identity);
			if (standing == Standing.QUARANTINED) {
				refuseQuarantined();
				return;
			}
			if (this.call.deadlineMs() <= RETURN_MARGIN_MS) {
				refuse(ResultCode.DEADLINE_UNREACHABLE, REFUSAL_PAUSE_MS);
				return;
			}
			this.timeout = CallDispatcher.this.loop.schedule(this::onTimeout,
					Math.max(0, this.callDeadlineMs - nowMs()), TimeUnit.MILLISECONDS);
			if (standing == Standing.RELEASED) {
				CallDispatcher.this.crashGuard.requestTrial(this.identity, this::onTrialDecided);
			}
			else {
				sendFirst();
			}
		}

		private void onTrialDecided(boolean granted) {
			if (this.finished) {
				return;
			}
			if (granted) {
				sendFirst();
			}
			else {
				refuseQuarantined();
			}
		}

		private void refuseQuarantined() {
			refuse(ResultCode.QUARANTINED, CallDispatcher.this.crashGuard.retryAfterMs(this.identity));
		}

		private void sendFirst() {
			if (canWait()) {
				sendInTurn();
			}
			else if (!sendNext()) {
				refuse(ResultCode.NO_TARGET, REFUSAL_PAUSE_MS);
			}
		}

		/** Sends the call to another target, or ends it if there is none. */
		private void sendAgain() {
			if (canWait()) {
				sendInTurn();
			}
			else if (!sendNext()) {
				finishUnanswered();
			}
		}

		/**
		 * Returns whether the call may wait for a target. A call that was answered, whose
		 * stream has begun or that may crash targets is not held back.
		 */
		private boolean canWait() {
			return this.mayWait && hasAttemptsLeft() && !this.stream.isBegun() && this.lastFailure == null
					&& !isSuspect() && !CallDispatcher.this.targets.ready(this.pool).isEmpty();
		}

		private void sendInTurn() {
			this.waiting = true;
			CallDispatcher.this.waitingCalls.add(this);
		}

		private boolean hasAttemptsLeft() {
			return this.sentCount < this.call.route().maximumAttempts() && nowMs() < this.targetDeadlineMs;
		}

		private long retryAfterMs() {
			return this.mayWait ? CallDispatcher.this.waitingCalls.retryAfterMs(this.pool, this.call.rank())
					: REFUSAL_PAUSE_MS;
		}

		/**
		 * Sends the call to another target; returns false if no target, attempt or time
		 * is left.
		 */
		private boolean sendNext() {
			if (!hasAttemptsLeft()) {
				return false;
			}
			Optional<TargetNotice> target = this.attemptedTargets.chooseUntried(CallDispatcher.this.targets, this.pool,
					nowMs());
			target.ifPresent((notice) -> send(notice, false));
			return target.isPresent();
		}

		@Override
		public WaitingCalls.Details details() {
			return this.details;
		}

		@Override
		public boolean isUntried() {
			return this.sentCount == 0;
		}

		@Override
		public boolean chooseTarget(@Nullable String freedId, boolean roomExpected) {
			boolean keepAttempt = roomExpected && this.attemptedTargets.isRefused()
					&& this.sentCount + 1 >= this.call.route().maximumAttempts();
			this.chosenTarget = this.attemptedTargets
				.chooseWithRoom(CallDispatcher.this.targets, this.pool, freedId, keepAttempt, nowMs())
				.orElse(null);
			return this.chosenTarget != null;
		}

		@Override
		public String sendToChosen() {
			this.waiting = false;
			TargetNotice target = Objects.requireNonNull(this.chosenTarget);
			if (isSuspect()) {
				CallDispatcher.this.waitingCalls.recordRefused(this);
				endAsSuspect();
				return "";
			}
			send(target, true);
			return target.id();
		}

		/** Handles a call that became suspect while it waited as if it had just come. */
		private void endAsSuspect() {
			Standing standing = CallDispatcher.this.crashGuard.standing(this.identity);
			if (this.mayHaveRun) {
				finishUnanswered();
			}
			else if (standing == Standing.QUARANTINED) {
				refuseQuarantined();
			}
			else if (standing == Standing.RELEASED) {
				CallDispatcher.this.crashGuard.requestTrial(this.identity, this::onTrialDecided);
			}
			else if (!sendNext()) {
				finishUnanswered();
			}
		}

		@Override
		public void refuseWaiting(ResultCode code, long retryAfterMs) {
			this.waiting = false;
			if (this.mayHaveRun) {
				finishUnanswered();
			}
			else {
				refuse(code, retryAfterMs);
			}
		}

		/** Returns whether the call may crash one more target if it is sent again. */
		private boolean isSuspect() {
			return CallDispatcher.this.crashGuard.standing(this.identity) != Standing.CLEAR;
		}

		private boolean mayRunAgain() {
			return this.call.route().isRepeatable() && !isSuspect();
		}

		private void send(TargetNotice target, boolean fromQueue) {
			this.attemptedTargets.add(target.id());
			this.sentCount++;
			Attempt attempt = new Attempt(this, target, fromQueue);
			this.runningAttempts.add(attempt);
			attempt.start();
			scheduleHedge();
		}

		private void scheduleHedge() {
			if (this.hedge != null) {
				this.hedge.cancel(false);
			}
			if (this.call.route().kind() == RouteKind.IDEMPOTENT) {
				long delayMs = Math.max(MINIMUM_HEDGE_DELAY_MS, this.call.route().targetLatencyMs());
				this.hedge = CallDispatcher.this.loop.schedule(this::sendHedge, delayMs, TimeUnit.MILLISECONDS);
			}
		}

		private void sendHedge() {
			if (!this.finished && !this.stream.isBegun() && !isSuspect() && !isOthersTurn() && sendNext()) {
				log("hedged", ResultCode.OK);
			}
		}

		/** Returns whether a hedge would take the target that a waiting call needs. */
		private boolean isOthersTurn() {
			return this.waiting || (this.mayWait && CallDispatcher.this.waitingCalls.isAnyWaiting(this.pool));
		}

		private void onTimeout() {
			if (this.finished) {
				return;
			}
			this.runningAttempts.forEach(Attempt::recordTimeout);
			giveUpAttempts();
			if (this.stream.isBegun()) {
				breakStream();
				return;
			}
			refuse((this.mayHaveRun || !this.runningAttempts.isEmpty()) ? ResultCode.DEADLINE_EXCEEDED
					: ResultCode.NO_TARGET, REFUSAL_PAUSE_MS);
		}

		/** Notes the targets from which nobody will learn whether they answer. */
		private void giveUpAttempts() {
			this.runningAttempts
				.forEach((attempt) -> CallDispatcher.this.crashGuard.givenUp(this.identity, attempt.target));
		}

		void executionStarted() {
			if (!this.executionReported) {
				this.executionReported = true;
				this.sink.executionStarted();
			}
		}

		void onNotRun(Attempt attempt) {
			this.runningAttempts.remove(attempt);
			this.attemptedTargets.recordNotRun(attempt.target.id());
			if (!this.finished && this.runningAttempts.isEmpty()) {
				sendAgain();
			}
		}

		void onLost(Attempt attempt, boolean attemptMayHaveRun) {
			this.runningAttempts.remove(attempt);
			this.mayHaveRun |= attemptMayHaveRun;
			if (this.finished) {
				return;
			}
			if (!attemptMayHaveRun) {
				this.attemptedTargets.recordNotRun(attempt.target.id());
			}
			if (!this.runningAttempts.isEmpty()) {
				return;
			}
			if (!this.mayHaveRun || mayRunAgain()) {
				sendAgain();
			}
			else {
				finishUnanswered();
			}
		}

		/** Lets another target resume the stream, or breaks it. */
		void onStreamCut(Attempt attempt) {
			this.runningAttempts.remove(attempt);
			this.mayHaveRun = true;
			if (this.stream.hasEvents()) {
				this.attemptedTargets.requireSoftwareVersion(attempt.target.softwareVersion());
			}
			if (!this.finished && !(mayRunAgain() && isResumableAfter(attempt) && sendNext())) {
				finishUnanswered();
			}
		}

		private boolean isResumableAfter(Attempt attempt) {
			return this.stream.isResumable() && !(this.stream.hasEvents()
					&& CallDispatcher.this.targets.hasAnnouncedOtherSoftware(attempt.target));
		}

		void onFailed(Attempt attempt, FullResponse response) {
			this.runningAttempts.remove(attempt);
			this.mayHaveRun = true;
			if (this.finished) {
				response.body().release();
				return;
			}
			this.sink.attemptFailed(response.head().status().code());
			if (!this.call.route().isRepeatable()) {
				finish(response);
				return;
			}
			storeFailure(response);
			if (this.runningAttempts.isEmpty() && !sendNext()) {
				finishUnanswered();
			}
		}

		private void storeFailure(FullResponse response) {
			if (this.lastFailure != null) {
				this.lastFailure.body().release();
			}
			this.lastFailure = response;
		}

		void onAnswered(Attempt attempt, FullResponse response) {
			this.runningAttempts.remove(attempt);
			if (this.finished) {
				response.body().release();
				return;
			}
			finish(response);
		}

		/** Ends the call with the outcome known so far when no target is left to try. */
		private void finishUnanswered() {
			FullResponse failure = this.lastFailure;
			if (this.stream.isBegun()) {
				breakStream();
			}
			else if (failure != null) {
				this.lastFailure = null;
				finish(failure);
			}
			else if (this.mayHaveRun) {
				refuse(ResultCode.OUTCOME_UNKNOWN, 0);
			}
			else {
				boolean busy = this.sentCount > 0;
				refuse(busy ? ResultCode.TARGET_BUSY : ResultCode.NO_TARGET, busy ? retryAfterMs() : REFUSAL_PAUSE_MS);
			}
		}

		private void finish(FullResponse response) {
			if (CallDispatcher.this.protocol.meansNotRun(response.head())) {
				response.body().release();
				refuse(ResultCode.OUTCOME_UNKNOWN, 0);
				return;
			}
			end();
			recordAnswer(response.targetId(), response.head());
			log("answered", ResultCode.OK);
			this.sink.answer(response.head(), response.body());
		}

		private void refuse(ResultCode code, long retryAfterMs) {
			end();
			log("refused", code);
			this.sink.refuse(code, retryAfterMs);
		}

		/** Forwards or resumes a stream; a streamed call has one attempt at a time. */
		CallStream.Part forwardStream(TargetNotice target, HttpResponse head) {
			if (this.stream.isBegun()) {
				LOGGER.atInfo()
					.log("event=stream_resumed request=%s target=%s software=%s after_event=%d first_target=%s sent=%d",
							this.call.requestId(), target.id(), target.softwareVersion(),
							this.stream.resumeAfterEvent(), this.answeringTargetId, this.sentCount);
				return this.stream.resume();
			}
			recordAnswer(target.id(), head);
			return this.stream.begin(head);
		}

		/** Records where the stream began, once an event was passed on. */
		void recordBegun(TargetNotice target) {
			if (!this.begunRecorded && this.stream.hasEvents()) {
				this.begunRecorded = true;
				if (this.call.route().resumable() && !this.call.takesUpStream()) {
					CallDispatcher.this.streams.recordBegun(this.call,
							new StreamOrigin(target.pool(), target.softwareVersion()));
				}
			}
		}

		private void recordAnswer(String targetId, HttpResponse head) {
			this.answeringTargetId = targetId;
			this.answerStatus = head.status().code();
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
			if (!this.finished) {
				giveUpAttempts();
				end();
				log("abandoned", ResultCode.OUTCOME_UNKNOWN);
			}
		}

		void endAtStop() {
			this.mayHaveRun |= !this.runningAttempts.isEmpty();
			if (!this.mayHaveRun && !this.stream.isBegun()) {
				refuse(ResultCode.SHUTTING_DOWN, REFUSAL_PAUSE_MS);
				return;
			}
			finishUnanswered();
		}

		private void end() {
			this.finished = true;
			CallDispatcher.this.pendingCalls.remove(this);
			if (this.waiting) {
				this.waiting = false;
				CallDispatcher.this.waitingCalls.remove(this);
			}
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
			List.copyOf(this.runningAttempts).forEach(Attempt::cancel);
			this.runningAttempts.clear();
		}

		private void log(String outcome, ResultCode code) {
			LOGGER.atInfo()
				.log("event=call_%s request=%s route=%s customer=%s code=%d status=%d target=%s sent=%d targets=%s elapsed_ms=%d",
						outcome, this.call.requestId(), this.call.route().name(), this.call.customer(), code.number(),
						this.answerStatus, this.answeringTargetId, this.sentCount, this.attemptedTargets,
						nowMs() - this.startedAtMs);
		}

	}

	/**
	 * A target's complete response.
	 *
	 * @param targetId the id of the target
	 * @param head the status and headers
	 * @param body the body
	 */
	private record FullResponse(String targetId, HttpResponse head, ByteBuf body) {
	}

	/** One attempt to run a call on one target. */
	private final class Attempt implements ResponseListener {

		private final PendingCall pendingCall;

		private final TargetNotice target;

		private final TargetStats stats;

		/**
		 * A copy of the chunks: keeping chunks of a few bytes would retain whole buffers.
		 */
		private final ByteBuf body = Unpooled.buffer(0, MAXIMUM_BODY_BYTES);

		private @Nullable RequestOutcome requestOutcome;

		/** What this target sends of the stream, or null if it sends a plain answer. */
		private CallStream.@Nullable Part streamPart;

		private Runnable canceller = () -> {
		};

		private final boolean fromQueue;

		private final long sentAtMs = nowMs();

		private boolean finished;

		private long sentAtNanos;

		private double queueFactor = 1;

		Attempt(PendingCall pendingCall, TargetNotice target, boolean fromQueue) {
			this.fromQueue = fromQueue;
			this.pendingCall = pendingCall;
			this.target = target;
			this.stats = CallDispatcher.this.targets.stats(target.id());
		}

		void start() {
			Call call = this.pendingCall.call;
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
					Unpooled.wrappedBuffer(call.body()));
			request.headers().set(call.headers());
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
			CallDispatcher.this.protocol.setSystemHeaders(request.headers(),
					new TargetProtocol.RequestContext(this.target.id(), call.customer(),
							Math.max(1, this.pendingCall.targetDeadlineMs - nowMs()),
							this.pendingCall.stream.resumeAfterEvent()));
			this.sentAtNanos = CallDispatcher.this.loop.ticker().nanoTime();
			this.queueFactor = this.stats.queueFactor(this.target.slotCount(), nowMs());
			this.stats.recordSent();
			this.canceller = CallDispatcher.this.client.send(this.target.address(), request, this);
		}

		void cancel() {
			if (!this.finished) {
				end();
				this.stats.recordGivenUp(elapsedMs(), this.queueFactor, nowMs());
				this.body.release();
				this.canceller.run();
			}
		}

		private double elapsedMs() {
			return (CallDispatcher.this.loop.ticker().nanoTime() - this.sentAtNanos) / 1e6;
		}

		private void end() {
			this.finished = true;
			this.stats.recordFinished();
			CallDispatcher.this.bufferedBytes -= this.body.readableBytes();
			recordEnd();
		}

		/** Records in the queue that the target has room again, or that it had none. */
		private void recordEnd() {
			WaitingCalls waitingCalls = CallDispatcher.this.waitingCalls;
			String pool = this.pendingCall.pool;
			boolean answered = this.requestOutcome == RequestOutcome.ANSWERED
					|| this.requestOutcome == RequestOutcome.FAILED;
			if (this.fromQueue && answered) {
				waitingCalls.recordAnswered(pool, nowMs() - this.sentAtMs);
			}
			else if (this.fromQueue && this.requestOutcome != null) {
				waitingCalls.recordRefused(this.pendingCall);
			}
			else if (this.fromQueue) {
				waitingCalls.recordEnded(pool);
			}
			waitingCalls.offerLater(pool, answered ? this.target.id() : null);
		}

		@Override
		public void onHead(HttpResponse head) {
			CallDispatcher.this.crashGuard.responded(this.target);
			this.requestOutcome = CallDispatcher.this.protocol.outcome(head);
			CallDispatcher.this.protocol.reportedLoad(head).ifPresent((load) -> this.stats.recordLoad(load, nowMs()));
			if (CallDispatcher.this.protocol.isLeaving(head)) {
				CallDispatcher.this.targets.markLeaving(this.target);
			}
			CallDispatcher.this.targets.markCold(this.target, CallDispatcher.this.protocol.coldRemainingMs(head));
			recordPace();
			if (this.requestOutcome == RequestOutcome.ANSWERED || this.requestOutcome == RequestOutcome.FAILED) {
				this.pendingCall.executionStarted();
			}
			if (this.requestOutcome == RequestOutcome.ANSWERED) {
				onAnswerHead(head);
			}
		}

		void recordTimeout() {
			this.stats.recordUnreachable(nowMs());
			CallDispatcher.this.targets.paces().onLate(this.target, this.sentAtMs, nowMs());
		}

		/** The time to the head is comparable, whether or not the answer is a stream. */
		private void recordPace() {
			if (this.requestOutcome == RequestOutcome.ANSWERED) {
				CallDispatcher.this.targets.paces()
					.onAnswer(this.target, TargetPaces.Measure.CALL, this.sentAtMs, nowMs() - this.sentAtMs, nowMs());
			}
			else if (this.requestOutcome == RequestOutcome.NOT_RUN) {
				CallDispatcher.this.targets.paces().onRefusal(this.target, this.sentAtMs, nowMs());
			}
		}

		private void onAnswerHead(HttpResponse head) {
			CallStream stream = this.pendingCall.stream;
			boolean sealed = CallDispatcher.this.protocol.seal(head).isPresent();
			if (stream.isBegun() && !(sealed && stream.isContinuedBy(head))) {
				this.requestOutcome = RequestOutcome.FAILED;
			}
			else if (this.pendingCall.call.route().kind() == RouteKind.STREAM && CallStream.isStream(head)) {
				this.streamPart = this.pendingCall.forwardStream(this.target, head);
			}
		}

		@Override
		public long maximumBodyBytes() {
			return (this.streamPart != null) ? Long.MAX_VALUE : MAXIMUM_BODY_BYTES;
		}

		@Override
		public void onContent(ByteBuf content) {
			if (this.streamPart != null) {
				readStream(this.streamPart, content);
			}
			else if (canBuffer(content.readableBytes())) {
				CallDispatcher.this.bufferedBytes += content.readableBytes();
				this.body.writeBytes(content);
			}
			else {
				failOverBufferLimit();
			}
		}

		private void readStream(CallStream.Part part, ByteBuf content) {
			CallStream.Reading reading = part.read(content);
			this.pendingCall.recordBegun(this.target);
			switch (reading) {
				case PASSED_ON -> {
				}
				case UNREAD -> this.pendingCall.breakStream();
				case INVALID -> {
					this.canceller.run();
					onFailure(new RequestFailure(true, "the stream goes on with something that is not its next event"));
				}
			}
		}

		private boolean canBuffer(int bytes) {
			return this.body.readableBytes() + bytes <= ALWAYS_BUFFERED_BYTES
					|| CallDispatcher.this.bufferedBytes + bytes <= MAXIMUM_BUFFERED_BYTES;
		}

		private void failOverBufferLimit() {
			this.canceller.run();
			onFailure(new RequestFailure(true, "incomplete responses already hold " + CallDispatcher.this.bufferedBytes
					+ " of " + MAXIMUM_BUFFERED_BYTES + " bytes"));
		}

		@Override
		public void onEnd(HttpResponse head) {
			if (this.streamPart != null) {
				onStreamEnd(this.streamPart, head);
				return;
			}
			end();
			if (this.requestOutcome == RequestOutcome.ANSWERED) {
				CallDispatcher.this.crashGuard.answered(this.pendingCall.identity, this.pendingCall.call.requestId());
			}
			RequestOutcome finalOutcome = (this.requestOutcome != null) ? this.requestOutcome : RequestOutcome.FAILED;
			switch (finalOutcome) {
				case ANSWERED -> {
					this.stats.recordSuccess();
					if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
						this.stats.recordAnswerTime(elapsedMs(), this.queueFactor, nowMs());
					}
					this.pendingCall.onAnswered(this, new FullResponse(this.target.id(), head, this.body));
				}
				case FAILED -> {
					this.stats.recordFailure();
					this.pendingCall.onFailed(this, new FullResponse(this.target.id(), head, this.body));
				}
				case NOT_RUN -> {
					this.body.release();
					this.stats.avoidUntil(nowMs() + REFUSAL_PAUSE_MS);
					this.pendingCall.onNotRun(this);
				}
				case WRONG_TARGET -> {
					this.body.release();
					CallDispatcher.this.targets.markAbsent(this.target, nowMs());
					this.pendingCall.onNotRun(this);
				}
			}
		}

		private void onStreamEnd(CallStream.Part part, HttpResponse head) {
			if (!part.isCompleteAtEnd(head)) {
				onFailure(new RequestFailure(true, "the stream ended without its last event"));
				return;
			}
			end();
			CallDispatcher.this.crashGuard.answered(this.pendingCall.identity, this.pendingCall.call.requestId());
			this.stats.recordSuccess();
			this.body.release();
			this.pendingCall.endStream();
		}

		@Override
		public void onFailure(RequestFailure failure) {
			end();
			this.body.release();
			RequestIdentity identity = this.pendingCall.identity;
			LOGGER.atInfo()
				.log("event=attempt_lost request=%s fingerprint=%s target=%s may_have_run=%s ended_targets=%d detail=\"%s\"",
						this.pendingCall.call.requestId(), RequestIdentity.abbreviated(identity.digest()),
						this.target.id(), failure.mayHaveRun(), CallDispatcher.this.crashGuard.endedTargets(identity),
						failure.detail());
			if (failure.mayHaveRun()) {
				CallDispatcher.this.crashGuard.connectionLost(identity, this.target);
			}
			CallDispatcher.this.targets.markLost(this.target, this.sentAtMs, nowMs());
			if (this.streamPart != null) {
				this.pendingCall.onStreamCut(this);
			}
			else {
				this.pendingCall.onLost(this, failure.mayHaveRun());
			}
		}

	}

}
