package org.zinniatack.entry;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.queue.RequestQueue;

/**
 * One request on its way. Its changing fields belong to the {@link Dispatcher}.
 */
final class CallerRequest {

	private final String id = UUID.randomUUID().toString();

	private final Principal principal;

	private final Call call;

	private final double costTokens;

	private final boolean bulk;

	private long queuedUntilMs;

	private final long deadlineMs;

	private final AnswerSink sink;

	private final AnswerProgress progress = new AnswerProgress();

	private int attemptNumber;

	private int lostTargetCount;

	private boolean admitted;

	private boolean suspect;

	private int failedRunCount;

	private boolean done;

	private long startedMs;

	private @Nullable TargetLink target;

	private @Nullable TargetLink lastTarget;

	private Runnable cancelExchange = () -> {
	};

	CallerRequest(Principal principal, Call call, double costTokens, boolean bulk, long queuedUntilMs, long deadlineMs,
			AnswerSink sink) {
		this.principal = principal;
		this.call = call;
		this.costTokens = costTokens;
		this.bulk = bulk;
		this.queuedUntilMs = queuedUntilMs;
		this.deadlineMs = deadlineMs;
		this.sink = sink;
	}

	Principal principal() {
		return this.principal;
	}

	Call call() {
		return this.call;
	}

	double costTokens() {
		return this.costTokens;
	}

	boolean isBulk() {
		return this.bulk;
	}

	String id() {
		return this.id;
	}

	long queuedUntilMs() {
		return this.queuedUntilMs;
	}

	/** Lets a started request wait for another target until a time. */
	void extendQueueTime(long untilMs) {
		this.queuedUntilMs = untilMs;
	}

	long deadlineMs() {
		return this.deadlineMs;
	}

	AnswerSink sink() {
		return this.sink;
	}

	AnswerProgress progress() {
		return this.progress;
	}

	RequestQueue.Flow flow() {
		return new RequestQueue.Flow(this.principal.customer(), this.bulk, this.principal.weight());
	}

	int attemptNumber() {
		return this.attemptNumber;
	}

	long startedMs() {
		return this.startedMs;
	}

	@Nullable TargetLink target() {
		return this.target;
	}

	/** Returns the target of the newest attempt, also after it has ended. */
	Optional<TargetLink> lastTarget() {
		return Optional.ofNullable(this.lastTarget);
	}

	/** Returns the targets that crashed or were lost while they ran this request. */
	int lostTargetCount() {
		return this.lostTargetCount;
	}

	void countLostTarget() {
		this.lostTargetCount++;
	}

	boolean isAdmitted() {
		return this.admitted;
	}

	void markAdmitted() {
		this.admitted = true;
	}

	/** Returns whether an attempt may have reached a target. */
	boolean mayHaveRun() {
		return this.failedRunCount > 0;
	}

	/** Returns the attempts that may have reached a target and failed. */
	int failedRunCount() {
		return this.failedRunCount;
	}

	void countFailedRun() {
		this.failedRunCount++;
	}

	boolean isSuspect() {
		return this.suspect;
	}

	void setSuspect(boolean value) {
		this.suspect = value;
	}

	boolean isDone() {
		return this.done;
	}

	void markDone() {
		this.done = true;
	}

	void startAttempt(TargetLink newTarget, long nowMs) {
		this.target = newTarget;
		this.lastTarget = newTarget;
		this.attemptNumber++;
		this.startedMs = nowMs;
		this.progress.discardBody();
	}

	void attachExchange(Runnable cancel) {
		this.cancelExchange = cancel;
	}

	void endAttempt() {
		this.target = null;
		this.cancelExchange = () -> {
		};
	}

	Runnable cancelExchange() {
		return this.cancelExchange;
	}

	/**
	 * Who may run a request.
	 *
	 * @param customer the customer, empty on an open route without a key
	 * @param key the digest of the key, null on an open route
	 * @param weight the customer's share relative to others
	 */
	record Principal(String customer, @Nullable Sha256Digest key, double weight) {
	}

	/**
	 * What a request asks of a target.
	 *
	 * @param routeName the name of the route
	 * @param route the route
	 * @param method the HTTP method
	 * @param path the path and query for the target
	 * @param headers the headers for the target
	 * @param body the body, with which an engine can be asked to continue
	 * @param digest the digest of customer, route and body
	 * @param prefixHash the hash of customer and prompt prefix, 0 for none
	 * @param repeatable true if the request may run more than once
	 */
	record Call(String routeName, Specification.Route route, String method, String path, Map<String, String> headers,
			RequestBody body, Sha256Digest digest, long prefixHash, boolean repeatable) {

		boolean isEngine() {
			return this.route.protocol() == Specification.Protocol.ENGINE;
		}

	}

}
