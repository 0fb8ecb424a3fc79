package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.zinniatack.core.admission.AdmissionController;
import org.zinniatack.core.admission.CostEstimator;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.queue.RequestQueue;
import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.retry.RetryBudget;
import org.zinniatack.core.retry.RetryPolicy;
import org.zinniatack.core.routing.Router;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Queues requests per pool and sends them to targets through the targets' agents. It
 * handles each request from admission to the end of its answer: it retries failed
 * attempts and aborts requests that are no longer allowed to run. All state is guarded by
 * the lock of this object; sinks and listeners are called and messages are sent after the
 * lock is released.
 */
final class QueueingDispatcher {

	private static final int MAXIMUM_ATTEMPTS = 4;

	private static final int MAXIMUM_LOST_TARGETS = 2;

	private static final double RETRY_RATIO = 0.1;

	private static final double RETRY_BUDGET_CAPACITY = 50;

	private static final int MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024;

	private static final long NO_TARGET_RETRY_MS = 1_000;

	private static final long RESUME_WAIT_MS = 30_000;

	private final LongSupplier clockMs;

	private final Authority authority;

	private final TargetRegistry targetRegistry;

	private final AdmissionController admission = new AdmissionController();

	private final CostEstimator costEstimator = new CostEstimator();

	private final RetryBudget retryBudget = new RetryBudget(RETRY_RATIO, RETRY_BUDGET_CAPACITY);

	private final RetryPolicy retries = RetryPolicy.within(MAXIMUM_ATTEMPTS, this.retryBudget);

	private final Map<String, PoolState> pools = new HashMap<>();

	private final Set<CallerRequest> running = new LinkedHashSet<>();

	private final SuspectTracker suspects;

	private final Enforcement enforcement;

	private final Consumer<FinishedRequest> onFinished;

	private boolean stopping;

	QueueingDispatcher(LongSupplier clockMs, Authority authority, Supplier<Router<TargetLink>> routerFactory,
			Consumer<FinishedRequest> onFinished) {
		this.clockMs = clockMs;
		this.authority = authority;
		this.suspects = new SuspectTracker(authority);
		this.enforcement = new Enforcement(clockMs, authority, this.suspects);
		this.targetRegistry = new TargetRegistry(routerFactory);
		this.onFinished = onFinished;
	}

	/** Returns the expected cost of a request in tokens. */
	synchronized double estimateCostTokens(String customer, String route, long maximumTokens) {
		return this.costEstimator.estimateTokens(customer, route, maximumTokens);
	}

	/** Admits and queues a request, or fails if it cannot be accepted. */
	void submit(CallerRequest request, boolean enforceLimits) throws ServiceException {
		DeferredActions actions = new DeferredActions();
		synchronized (this) {
			requireRunnable(request);
			if (enforceLimits) {
				admit(request);
			}
			else {
				this.admission.checkSpendingCeiling(policyOf(request), now());
			}
			this.retryBudget.deposit();
			enqueue(request);
			dispatchWaiting(request.call().route().pool(), actions);
		}
		actions.run();
	}

	private void requireRunnable(CallerRequest request) throws ServiceException {
		if (this.stopping) {
			throw ServiceException.retryable(ResultCode.SHUTTING_DOWN, "this entry is stopping; try another entry",
					NO_TARGET_RETRY_MS);
		}
		if (this.enforcement.isAuthorityExpired(request)) {
			throw ServiceException.retryable(ResultCode.AUTHORITY_EXPIRED, "the authority lease has expired",
					this.authority.retryAfterMs());
		}
		if (this.enforcement.isKeyWithdrawn(request)) {
			throw ServiceException.of(ResultCode.KEY_WITHDRAWN_QUEUED, "the key is no longer valid");
		}
		if (this.suspects.isQuarantined(request)) {
			throw ServiceException.of(ResultCode.QUARANTINED,
					"quarantined digest " + request.call().abbreviatedDigest());
		}
		if (this.targetRegistry.usableSlotCount(request.call().route().pool()) == 0) {
			throw ServiceException.retryable(ResultCode.NO_TARGET,
					"no usable target in pool " + request.call().route().pool(), NO_TARGET_RETRY_MS);
		}
	}

	private void admit(CallerRequest request) throws ServiceException {
		String pool = request.call().route().pool();
		long waitMs = poolState(pool).expectedWaitMs(request.flow(), this.targetRegistry.usableSlotCount(pool),
				this.targetRegistry.freeSlots(pool));
		this.admission.admit(policyOf(request), waitMs, now());
		request.markAdmitted();
	}

	private Specification.CustomerPolicy policyOf(CallerRequest request) {
		return this.authority.view().configuration().policyOf(request.principal().customer());
	}

	private void enqueue(CallerRequest request) {
		if (this.suspects.mustRunAlone(request)) {
			this.suspects.awaitIdleTarget(request);
		}
		else {
			poolState(request.call().route().pool()).queue().add(request, request.flow(), request.costTokens());
		}
	}

	private PoolState poolState(String pool) {
		return this.pools.computeIfAbsent(pool, (absent) -> new PoolState(RequestQueue.weightedFair()));
	}

	private long now() {
		return this.clockMs.getAsLong();
	}

	private void dispatchWaiting(String pool, DeferredActions actions) {
		dispatchSuspects(pool, actions);
		PoolState state = poolState(pool);
		int freeSlots = this.targetRegistry.freeSlots(pool);
		List<CallerRequest> withoutTarget = new ArrayList<>();
		while (freeSlots > 0 && !state.queue().isEmpty()) {
			int remainingSlots = freeSlots;
			int reserved = state.reservedSlots(this.targetRegistry.usableSlotCount(pool), now());
			Optional<CallerRequest> next = state.queue().poll((flow) -> !flow.bulk() || remainingSlots > reserved);
			if (next.isEmpty()) {
				break;
			}
			if (this.suspects.mustRunAlone(next.get())) {
				enqueue(next.get());
				continue;
			}
			Optional<TargetLink> target = this.targetRegistry.choose(next.get());
			if (target.isEmpty()) {
				withoutTarget.add(next.get());
				if (next.get().needsSoftwareVersion()) {
					continue;
				}
				break;
			}
			start(next.get(), target.get(), actions);
			freeSlots--;
		}
		withoutTarget.forEach(this::enqueue);
	}

	private void dispatchSuspects(String pool, DeferredActions actions) {
		for (CallerRequest request : this.suspects.waiting()) {
			if (request.call().route().pool().equals(pool)) {
				this.targetRegistry.choose(request).ifPresent((target) -> {
					this.suspects.stopWaiting(request);
					start(request, target, actions);
				});
			}
		}
	}

	private void start(CallerRequest request, TargetLink target, DeferredActions actions) {
		long nowMs = now();
		request.startAttempt(target, nowMs);
		target.requestStarted(request.isSuspect());
		poolState(request.call().route().pool()).requestStarted(request.isBulk(), nowMs);
		this.running.add(request);
		CallerRequest.Call call = request.call();
		Message.Run run = new Message.Run(request.id() + "-" + request.attemptNumber(), call.identity().digest(),
				request.isSuspect(), call.method(), call.path(), call.headers(), call.body().bytes(request.progress()),
				call.isEngine(), Math.max(1, request.deadlineMs() - nowMs));
		AttemptListener listener = new AttemptListener(this, request, target, request.attemptNumber());
		actions.add(() -> {
			Runnable cancel = target.peer().openExchange(run, listener);
			synchronized (this) {
				if (!request.isDone() && request.attemptNumber() == listener.attemptNumber()
						&& request.target() == target) {
					request.attachExchange(cancel);
					return;
				}
			}
			cancel.run();
		});
	}

	private boolean isCurrent(CallerRequest request, int attempt) {
		return !request.isDone() && request.attemptNumber() == attempt && request.target() != null;
	}

	void onHead(CallerRequest request, int attempt, Message.AnswerHead head) {
		synchronized (this) {
			if (isCurrent(request, attempt)) {
				request.progress().setHead(head.httpStatus(), head.contentType());
			}
		}
	}

	void onChunk(CallerRequest request, int attempt, byte[] data) {
		try {
			EngineEvent event = request.call().isEngine() ? EngineEvent.parse(data) : null;
			synchronized (this) {
				if (!isCurrent(request, attempt)) {
					return;
				}
				if (event != null) {
					request.progress().appendEvent(event);
					if (!request.progress().text().isEmpty()) {
						request.markGenerated();
					}
				}
				else {
					request.progress().appendBody(data);
				}
				if (request.progress().size() > MAXIMUM_ANSWER_BYTES) {
					throw ServiceException.of(ResultCode.TARGET_FAILED,
							"the answer exceeds " + MAXIMUM_ANSWER_BYTES + " bytes");
				}
			}
			if (event != null) {
				request.sink().onEvent(event);
			}
		}
		catch (ServiceException ex) {
			abort(request, ex);
		}
	}

	void onEnd(CallerRequest request, int attempt) {
		DeferredActions actions = new DeferredActions();
		synchronized (this) {
			if (!isCurrent(request, attempt)) {
				return;
			}
			if (request.call().isEngine() && !request.progress().isFinished()) {
				attemptFailed(request, ServiceException.of(ResultCode.ANSWER_CUT_SHORT,
						"the stream of the engine ended without a finish reason"), actions);
			}
			else {
				completeRequest(request, actions);
			}
		}
		actions.run();
	}

	private void completeRequest(CallerRequest request, DeferredActions actions) {
		Answer answer = request.progress().answer();
		boolean wasSuspect = request.isSuspect();
		releaseTarget(request, true);
		this.suspects.recordSuccess(request);
		finish(request, actions);
		actions.add(() -> request.sink().complete(answer));
		actions.add(() -> this.onFinished.accept(new FinishedRequest(request, answer, wasSuspect)));
		dispatchWaiting(request.call().route().pool(), actions);
	}

	void onFailure(CallerRequest request, int attempt, ServiceException failure) {
		DeferredActions actions = new DeferredActions();
		synchronized (this) {
			if (isCurrent(request, attempt)) {
				attemptFailed(request, failure, actions);
			}
		}
		actions.run();
	}

	/** Handles the loss of the connection to the target of an attempt. */
	void onTargetLost(CallerRequest request, int attempt) {
		DeferredActions actions = new DeferredActions();
		synchronized (this) {
			if (isCurrent(request, attempt)) {
				request.countLostTarget();
				attemptFailed(request, ServiceException.of(ResultCode.OUTCOME_UNKNOWN,
						"the connection to the agent of the target was lost"), actions);
			}
		}
		actions.run();
	}

	private void attemptFailed(CallerRequest request, ServiceException failure, DeferredActions actions) {
		ResultCode code = failure.code();
		TargetLink target = request.target();
		boolean neverStarted = code == ResultCode.TARGET_BUSY || code == ResultCode.TARGET_LEAVING;
		releaseTarget(request, neverStarted);
		if (!neverStarted) {
			request.countFailedRun();
			request.extendQueueTime(now() + RESUME_WAIT_MS);
		}
		if (neverStarted && target != null) {
			target.recordBusyRefusal();
		}
		if (code == ResultCode.TARGET_CRASHED) {
			onCrash(request, actions);
		}
		else if (request.lostTargetCount() >= MAXIMUM_LOST_TARGETS) {
			failRequest(request, failure, actions);
		}
		else if (this.targetRegistry.hasOnlyOtherSoftware(request)) {
			failRequest(request, ServiceException.of(ResultCode.ANSWER_CUT_SHORT,
					"no target has the software version that generated the text so far"), actions);
		}
		else if (neverStarted && now() < request.queuedUntilMs()) {
			enqueue(request);
		}
		else if (this.retries.shouldRetry(new RetryPolicy.Attempt(Math.max(1, request.failedRunCount()), code,
				request.call().repeatable(), false))) {
			enqueue(request);
		}
		else {
			failRequest(request, failure, actions);
		}
		dispatchWaiting(request.call().route().pool(), actions);
	}

	/**
	 * Retries a request on an idle target after the first crash; fails it after the
	 * second.
	 */
	private void onCrash(CallerRequest request, DeferredActions actions) {
		request.countLostTarget();
		if (request.isSuspect() || request.lostTargetCount() >= MAXIMUM_LOST_TARGETS) {
			failRequest(request,
					ServiceException.of(ResultCode.TARGET_CRASHED,
							"quarantined after repeated target failures, digest " + request.call().abbreviatedDigest()),
					actions);
		}
		else if (!request.call().repeatable()) {
			failRequest(request,
					ServiceException.of(ResultCode.TARGET_CRASHED, "the request is not repeatable and was not retried"),
					actions);
		}
		else {
			this.suspects.recordCrash(request);
			enqueue(request);
		}
	}

	private void releaseTarget(CallerRequest request, boolean succeeded) {
		TargetLink target = request.target();
		if (target != null) {
			target.requestEnded(succeeded);
			poolState(request.call().route().pool()).requestEnded(succeeded ? request.progress().tokenCount() : 0,
					now() - request.startedMs());
		}
		request.endAttempt();
		this.running.remove(request);
	}

	private void finish(CallerRequest request, DeferredActions actions) {
		request.markDone();
		long tokens = request.progress().tokenCount();
		this.admission.charge(request.principal().customer(), tokens, now());
		if (request.isAdmitted()) {
			this.admission.release(request.principal().customer());
		}
		if (tokens > 0) {
			this.costEstimator.recordCost(request.principal().customer(), request.call().routeName(), tokens);
		}
	}

	private void failRequest(CallerRequest request, ServiceException failure, DeferredActions actions) {
		finish(request, actions);
		ServiceException reported = (request.mayHaveRun() && failure.code().outcome() == Outcome.NOT_RUN)
				? ServiceException.retryable(ResultCode.OUTCOME_UNKNOWN,
						"an earlier attempt may have run; the last attempt failed with " + failure.code(),
						failure.retryAfterMs())
				: failure;
		actions.add(() -> request.sink().fail(reported));
		if (request.progress().tokenCount() > 0) {
			Answer partial = request.progress().answer();
			actions.add(() -> this.onFinished.accept(new FinishedRequest(request, partial, false)));
		}
	}

	/** Fails a request, whether it is queued or running, and cancels its exchange. */
	void abort(CallerRequest request, ServiceException failure) {
		DeferredActions actions = new DeferredActions();
		synchronized (this) {
			if (!request.isDone()) {
				Runnable cancel = request.cancelExchange();
				String pool = request.call().route().pool();
				poolState(pool).queue().removeIf((waiting) -> waiting == request);
				this.suspects.stopWaiting(request);
				releaseTarget(request, true);
				failRequest(request, failure, actions);
				actions.add(cancel);
				dispatchWaiting(pool, actions);
			}
		}
		actions.run();
	}

	/**
	 * Aborts requests that may not go on: their key was withdrawn, they are quarantined,
	 * their time has passed or the authority lease has expired.
	 */
	void enforce() {
		Map<CallerRequest, ServiceException> failures = new LinkedHashMap<>();
		synchronized (this) {
			Predicate<CallerRequest> mustEnd = (request) -> {
				Optional<ServiceException> reason = this.enforcement.reasonToEnd(request);
				reason.ifPresent((failure) -> failures.put(request, failure));
				return reason.isPresent();
			};
			this.pools.values().forEach((pool) -> pool.queue().removeIf(mustEnd));
			this.suspects.waiting().forEach(mustEnd::test);
			this.running.forEach(mustEnd::test);
		}
		failures.forEach(this::abort);
		dispatchAllPools();
	}

	private void dispatchAllPools() {
		DeferredActions actions = new DeferredActions();
		synchronized (this) {
			List.copyOf(this.pools.keySet()).forEach((pool) -> dispatchWaiting(pool, actions));
		}
		actions.run();
	}

	synchronized void onAnnounce(Peer peer, Message.Announce announce) {
		this.targetRegistry.add(new TargetLink(peer, announce, this.clockMs));
	}

	void onLoad(Peer peer, Message.Load load) {
		DeferredActions actions = new DeferredActions();
		synchronized (this) {
			this.targetRegistry.findByPeer(peer).ifPresent((target) -> {
				target.updateLoad(load);
				dispatchWaiting(target.announce().pool(), actions);
			});
		}
		actions.run();
	}

	synchronized void onPeerLost(Peer peer) {
		this.targetRegistry.findByPeer(peer).ifPresent(this.targetRegistry::remove);
	}

	synchronized List<TargetLink> targets() {
		return new ArrayList<>(this.targetRegistry.all());
	}

	synchronized List<Message.PoolLoad> poolLoads() {
		List<Message.PoolLoad> loads = new ArrayList<>();
		this.pools
			.forEach((pool, state) -> loads.add(new Message.PoolLoad(pool, state.queue().size(), state.running())));
		return loads;
	}

	/** Refuses new requests; admitted requests continue. */
	synchronized void stopAdmitting() {
		this.stopping = true;
	}

	synchronized int openRequestCount() {
		return this.running.size() + this.suspects.waiting().size()
				+ this.pools.values().stream().mapToInt((pool) -> pool.queue().size()).sum();
	}

	/**
	 * A request that is completed, or that failed after it generated tokens.
	 *
	 * @param request the request
	 * @param answer the complete answer, or the part received before the failure
	 * @param clearedSuspect true if the request was a suspect and completed
	 */
	record FinishedRequest(CallerRequest request, Answer answer, boolean clearedSuspect) {
	}

}
