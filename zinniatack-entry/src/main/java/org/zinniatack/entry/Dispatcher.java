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
 * Takes requests from admission to the end of their answer: queues them, sends them to
 * targets, tries again what may run again, and ends what may no longer run.
 */
final class Dispatcher {

	private static final int MAXIMUM_ATTEMPTS = 4;

	private static final int MAXIMUM_LOST_TARGETS = 2;

	private static final double RETRY_SHARE = 0.1;

	private static final double RETRY_CAPACITY = 50;

	private static final int MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024;

	private static final long NO_TARGET_RETRY_MS = 1_000;

	private static final long RESUME_WAIT_MS = 30_000;

	private final LongSupplier clockMs;

	private final Authority authority;

	private final Fleet fleet;

	private final AdmissionController admission = new AdmissionController();

	private final CostEstimator costs = new CostEstimator();

	private final RetryBudget retryBudget = new RetryBudget(RETRY_SHARE, RETRY_CAPACITY);

	private final RetryPolicy retries = RetryPolicy.within(MAXIMUM_ATTEMPTS, this.retryBudget);

	private final Map<String, PoolState> pools = new HashMap<>();

	private final Set<CallerRequest> running = new LinkedHashSet<>();

	private final Suspects suspects;

	private final Enforcement enforcement;

	private final Consumer<Finished> finished;

	private boolean stopping;

	Dispatcher(LongSupplier clockMs, Authority authority, Supplier<Router<TargetLink>> routers,
			Consumer<Finished> finished) {
		this.clockMs = clockMs;
		this.authority = authority;
		this.suspects = new Suspects(authority);
		this.enforcement = new Enforcement(clockMs, authority, this.suspects);
		this.fleet = new Fleet(routers);
		this.finished = finished;
	}

	/** Returns the expected cost of a request, in tokens. */
	synchronized double estimate(String customer, String route, long maximumTokens) {
		return this.costs.estimateTokens(customer, route, maximumTokens);
	}

	/** Admits and queues a request, or refuses it at once. */
	void submit(CallerRequest request, boolean limited) throws ServiceException {
		Actions actions = new Actions();
		synchronized (this) {
			requireRunnable(request);
			if (limited) {
				admit(request);
			}
			else {
				this.admission.checkSpendingCeiling(policyOf(request), now());
			}
			this.retryBudget.deposit();
			enqueue(request);
			pump(request.call().route().pool(), actions);
		}
		actions.run();
	}

	private void requireRunnable(CallerRequest request) throws ServiceException {
		if (this.stopping) {
			throw ServiceException.retryable(ResultCode.SHUTTING_DOWN, "try another entry", NO_TARGET_RETRY_MS);
		}
		if (this.enforcement.isAuthorityExpired(request)) {
			throw ServiceException.retryable(ResultCode.AUTHORITY_EXPIRED, "no word from control",
					this.authority.retryAfterMs());
		}
		if (this.enforcement.isKeyWithdrawn(request)) {
			throw ServiceException.of(ResultCode.KEY_WITHDRAWN_QUEUED, "withdrawn");
		}
		if (this.suspects.isQuarantined(request)) {
			throw ServiceException.of(ResultCode.QUARANTINED, "digest " + request.call().digest().abbreviated());
		}
		if (this.fleet.slots(request.call().route().pool()) == 0) {
			throw ServiceException.retryable(ResultCode.NO_TARGET, "pool " + request.call().route().pool(),
					NO_TARGET_RETRY_MS);
		}
	}

	private void admit(CallerRequest request) throws ServiceException {
		String pool = request.call().route().pool();
		long waitMs = poolState(pool).expectedWaitMs(request.flow(), this.fleet.slots(pool), this.fleet.room(pool));
		this.admission.admit(policyOf(request), waitMs, now());
		request.markAdmitted();
	}

	private Specification.CustomerPolicy policyOf(CallerRequest request) {
		return this.authority.view().configuration().policyOf(request.access().customer());
	}

	private void enqueue(CallerRequest request) {
		if (this.suspects.contains(request)) {
			this.suspects.await(request);
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

	private void pump(String pool, Actions actions) {
		pumpSuspects(pool, actions);
		PoolState state = poolState(pool);
		int room = this.fleet.room(pool);
		while (room > 0 && !state.queue().isEmpty()) {
			int free = room;
			int reserved = state.reservedSlots(this.fleet.slots(pool), now());
			Optional<CallerRequest> next = state.queue().poll((flow) -> !flow.bulk() || free > reserved);
			if (next.isEmpty()) {
				return;
			}
			if (this.suspects.contains(next.get())) {
				enqueue(next.get());
				continue;
			}
			Optional<TargetLink> target = this.fleet.choose(next.get());
			if (target.isEmpty()) {
				enqueue(next.get());
				return;
			}
			start(next.get(), target.get(), actions);
			room--;
		}
	}

	private void pumpSuspects(String pool, Actions actions) {
		for (CallerRequest request : this.suspects.waiting()) {
			if (request.call().route().pool().equals(pool)) {
				this.fleet.choose(request).ifPresent((target) -> {
					this.suspects.remove(request);
					start(request, target, actions);
				});
			}
		}
	}

	private void start(CallerRequest request, TargetLink target, Actions actions) {
		long nowMs = now();
		request.begin(target, nowMs);
		target.started(request.isSuspect());
		poolState(request.call().route().pool()).started(request.isBulk(), nowMs);
		this.running.add(request);
		CallerRequest.Call call = request.call();
		Message.Run run = new Message.Run(request.id() + "-" + request.attempts(), call.digest().hex(),
				request.isSuspect(), call.method(), call.path(), call.headers(), call.body().bytes(request.progress()),
				call.isEngine(), Math.max(1, request.deadlineMs() - nowMs));
		AttemptListener listener = new AttemptListener(this, request, target, request.attempts());
		actions.add(() -> {
			Runnable cancel = target.peer().openExchange(run, listener);
			synchronized (this) {
				if (!request.isDone() && request.attempts() == listener.number() && request.target() == target) {
					request.running(cancel);
					return;
				}
			}
			cancel.run();
		});
	}

	private boolean isCurrent(CallerRequest request, int attempt) {
		return !request.isDone() && request.attempts() == attempt && request.target() != null;
	}

	void onHead(CallerRequest request, int attempt, Message.AnswerHead head) {
		synchronized (this) {
			if (isCurrent(request, attempt)) {
				request.progress().head(head.httpStatus(), head.contentType());
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
					request.progress().event(event);
				}
				else {
					request.progress().bytes(data);
				}
				if (request.progress().size() > MAXIMUM_ANSWER_BYTES) {
					throw ServiceException.of(ResultCode.TARGET_FAILED, "the answer exceeds the size limit");
				}
			}
			if (event != null) {
				request.sink().event(event);
			}
		}
		catch (ServiceException ex) {
			endNow(request, ex);
		}
	}

	void onEnd(CallerRequest request, int attempt) {
		Actions actions = new Actions();
		synchronized (this) {
			if (!isCurrent(request, attempt)) {
				return;
			}
			if (request.call().isEngine() && !request.progress().isFinished()) {
				attemptFailed(request, ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "no finish reason"), actions);
			}
			else {
				complete(request, actions);
			}
		}
		actions.run();
	}

	private void complete(CallerRequest request, Actions actions) {
		Answer answer = request.progress().answer();
		boolean wasSuspect = request.isSuspect();
		leave(request, true);
		this.suspects.clear(request);
		finish(request, actions);
		actions.add(() -> request.sink().end(answer));
		actions.add(() -> this.finished.accept(new Finished(request, answer, wasSuspect)));
		pump(request.call().route().pool(), actions);
	}

	void onFailure(CallerRequest request, int attempt, ServiceException failure) {
		Actions actions = new Actions();
		synchronized (this) {
			if (isCurrent(request, attempt)) {
				attemptFailed(request, failure, actions);
			}
		}
		actions.run();
	}

	/** Learns that the connection to the target of an attempt was lost. */
	void onLost(CallerRequest request, int attempt) {
		Actions actions = new Actions();
		synchronized (this) {
			if (isCurrent(request, attempt)) {
				request.countLostTarget();
				attemptFailed(request,
						ServiceException.of(ResultCode.OUTCOME_UNKNOWN, "the agent of the target was lost"), actions);
			}
		}
		actions.run();
	}

	private void attemptFailed(CallerRequest request, ServiceException failure, Actions actions) {
		ResultCode code = failure.code();
		TargetLink target = request.target();
		boolean neverStarted = code == ResultCode.TARGET_BUSY || code == ResultCode.TARGET_LEAVING;
		leave(request, neverStarted);
		if (!neverStarted) {
			request.countFailedRun();
			request.waitUntil(now() + RESUME_WAIT_MS);
		}
		if (neverStarted && target != null) {
			target.refusedAsBusy();
		}
		if (code == ResultCode.TARGET_CRASHED) {
			onCrash(request, actions);
		}
		else if (request.lostTargets() >= MAXIMUM_LOST_TARGETS) {
			failLater(request, failure, actions);
		}
		else if (neverStarted && now() < request.queuedUntilMs()) {
			enqueue(request);
		}
		else if (this.retries.shouldRetry(
				new RetryPolicy.Attempt(Math.max(1, request.failedRuns()), code, request.call().repeatable(), false))) {
			enqueue(request);
		}
		else {
			failLater(request, failure, actions);
		}
		pump(request.call().route().pool(), actions);
	}

	/** Runs a request alone after its first crash and gives it up after its second. */
	private void onCrash(CallerRequest request, Actions actions) {
		request.countLostTarget();
		if (request.isSuspect() || request.lostTargets() >= MAXIMUM_LOST_TARGETS) {
			failLater(request, ServiceException.of(ResultCode.TARGET_CRASHED,
					"quarantined, digest " + request.call().digest().abbreviated()), actions);
		}
		else if (!request.call().repeatable()) {
			failLater(request, ServiceException.of(ResultCode.TARGET_CRASHED, "not repeated"), actions);
		}
		else {
			this.suspects.add(request);
			enqueue(request);
		}
	}

	private void leave(CallerRequest request, boolean succeeded) {
		TargetLink target = request.target();
		if (target != null) {
			target.ended(succeeded);
			poolState(request.call().route().pool()).ended(succeeded ? request.progress().tokenCount() : 0,
					now() - request.startedMs());
		}
		request.leaveTarget();
		this.running.remove(request);
	}

	private void finish(CallerRequest request, Actions actions) {
		request.markDone();
		long tokens = request.progress().tokenCount();
		this.admission.charge(request.access().customer(), tokens, now());
		if (request.isAdmitted()) {
			this.admission.release(request.access().customer());
		}
		if (tokens > 0) {
			this.costs.recordCost(request.access().customer(), request.call().routeName(), tokens);
		}
	}

	private void failLater(CallerRequest request, ServiceException failure, Actions actions) {
		finish(request, actions);
		ServiceException truthful = (request.hasStarted() && failure.code().outcome() == Outcome.NOT_RUN)
				? ServiceException.retryable(ResultCode.OUTCOME_UNKNOWN,
						"an earlier attempt may have run; the last ended with " + failure.code(),
						failure.retryAfterMs())
				: failure;
		actions.add(() -> request.sink().fail(truthful));
		if (request.progress().tokenCount() > 0) {
			Answer partial = request.progress().answer();
			actions.add(() -> this.finished.accept(new Finished(request, partial, false)));
		}
	}

	/** Ends a request that may not go on, wherever it is. */
	void endNow(CallerRequest request, ServiceException failure) {
		Actions actions = new Actions();
		synchronized (this) {
			if (!request.isDone()) {
				Runnable cancel = request.cancelExchange();
				String pool = request.call().route().pool();
				poolState(pool).queue().removeIf((waiting) -> waiting == request);
				this.suspects.remove(request);
				leave(request, true);
				failLater(request, failure, actions);
				actions.add(cancel);
				pump(pool, actions);
			}
		}
		actions.run();
	}

	/** Ends what the newest word of control, or the lack of it, no longer lets run. */
	void enforce() {
		Map<CallerRequest, ServiceException> ending = new LinkedHashMap<>();
		synchronized (this) {
			Predicate<CallerRequest> ends = (request) -> {
				Optional<ServiceException> reason = this.enforcement.reasonToEnd(request);
				reason.ifPresent((failure) -> ending.put(request, failure));
				return reason.isPresent();
			};
			this.pools.values().forEach((pool) -> pool.queue().removeIf(ends));
			this.suspects.waiting().forEach(ends::test);
			this.running.forEach(ends::test);
		}
		ending.forEach(this::endNow);
		pumpAll();
	}

	private void pumpAll() {
		Actions actions = new Actions();
		synchronized (this) {
			List.copyOf(this.pools.keySet()).forEach((pool) -> pump(pool, actions));
		}
		actions.run();
	}

	synchronized void announced(Peer peer, Message.Announce announce) {
		this.fleet.add(new TargetLink(peer, announce, this.clockMs));
	}

	void reported(Peer peer, Message.Load load) {
		Actions actions = new Actions();
		synchronized (this) {
			this.fleet.of(peer).ifPresent((target) -> {
				target.report(load);
				pump(target.announce().pool(), actions);
			});
		}
		actions.run();
	}

	synchronized void lost(Peer peer) {
		this.fleet.of(peer).ifPresent(this.fleet::remove);
	}

	synchronized List<TargetLink> targets() {
		return new ArrayList<>(this.fleet.all());
	}

	synchronized List<Message.PoolLoad> loads() {
		List<Message.PoolLoad> loads = new ArrayList<>();
		this.pools
			.forEach((pool, state) -> loads.add(new Message.PoolLoad(pool, state.queue().size(), state.running())));
		return loads;
	}

	/** Refuses new requests; those that were admitted go on. */
	synchronized void stopAdmitting() {
		this.stopping = true;
	}

	synchronized int openRequests() {
		return this.running.size() + this.suspects.waiting().size()
				+ this.pools.values().stream().mapToInt((pool) -> pool.queue().size()).sum();
	}

	/**
	 * A request that used a target.
	 *
	 * @param request the request
	 * @param answer the answer, whole or what arrived of it
	 * @param clearedSuspect true if a suspect ran alone to its end
	 */
	record Finished(CallerRequest request, Answer answer, boolean clearedSuspect) {
	}

}
