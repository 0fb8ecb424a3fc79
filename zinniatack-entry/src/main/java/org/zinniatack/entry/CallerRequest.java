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

	private final Access access;

	private final Call call;

	private final double costTokens;

	private final boolean bulk;

	private long queuedUntilMs;

	private final long deadlineMs;

	private final AnswerSink sink;

	private final Progress progress = new Progress();

	private int attempts;

	private int lostTargets;

	private boolean admitted;

	private boolean suspect;

	private int failedRuns;

	private boolean done;

	private long startedMs;

	private @Nullable TargetLink target;

	private @Nullable TargetLink lastTarget;

	private Runnable cancelExchange = () -> {
	};

	CallerRequest(Access access, Call call, double costTokens, boolean bulk, long queuedUntilMs, long deadlineMs,
			AnswerSink sink) {
		this.access = access;
		this.call = call;
		this.costTokens = costTokens;
		this.bulk = bulk;
		this.queuedUntilMs = queuedUntilMs;
		this.deadlineMs = deadlineMs;
		this.sink = sink;
	}

	Access access() {
		return this.access;
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
	void waitUntil(long untilMs) {
		this.queuedUntilMs = untilMs;
	}

	long deadlineMs() {
		return this.deadlineMs;
	}

	AnswerSink sink() {
		return this.sink;
	}

	Progress progress() {
		return this.progress;
	}

	RequestQueue.Flow flow() {
		return new RequestQueue.Flow(this.access.customer(), this.bulk, this.access.weight());
	}

	int attempts() {
		return this.attempts;
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
	int lostTargets() {
		return this.lostTargets;
	}

	void countLostTarget() {
		this.lostTargets++;
	}

	boolean isAdmitted() {
		return this.admitted;
	}

	void markAdmitted() {
		this.admitted = true;
	}

	/** Returns whether an attempt may have reached a target. */
	boolean hasStarted() {
		return this.failedRuns > 0;
	}

	/** Returns the attempts that may have reached a target and failed. */
	int failedRuns() {
		return this.failedRuns;
	}

	void countFailedRun() {
		this.failedRuns++;
	}

	boolean isSuspect() {
		return this.suspect;
	}

	void suspect(boolean changed) {
		this.suspect = changed;
	}

	boolean isDone() {
		return this.done;
	}

	void markDone() {
		this.done = true;
	}

	void begin(TargetLink on, long nowMs) {
		this.target = on;
		this.lastTarget = on;
		this.attempts++;
		this.startedMs = nowMs;
		this.progress.restartBody();
	}

	void running(Runnable cancel) {
		this.cancelExchange = cancel;
	}

	void leaveTarget() {
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
	record Access(String customer, @Nullable Sha256Digest key, double weight) {
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
