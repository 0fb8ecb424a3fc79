package org.zinniatack.entry;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.queue.RequestQueue;
import org.zinniatack.core.state.RequestIdentity;

/**
 * A request that this entry has accepted and not yet answered. Its mutable fields are
 * guarded by the lock of the {@link QueueingDispatcher}.
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

	/** The software version of the target of the newest attempt when it began. */
	private String attemptSoftwareVersion = "";

	/** The software version of the targets that generated the text, null without any. */
	private @Nullable String softwareVersion;

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

	/** Lets a request that has started wait for another target until the given time. */
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

	/** Records that the target of the newest attempt has generated text. */
	void markGenerated() {
		this.softwareVersion = this.attemptSoftwareVersion;
	}

	/**
	 * Returns whether a target can run the request. One that has text can go on only at
	 * the software version that generated it.
	 */
	boolean mayRunAt(TargetLink other) {
		return this.softwareVersion == null || this.softwareVersion.equals(other.softwareVersion());
	}

	/** Returns whether the request has text, so that not every target can run it. */
	boolean needsSoftwareVersion() {
		return this.softwareVersion != null;
	}

	/** Returns how many targets crashed or were lost while they ran this request. */
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

	/** Returns how many attempts failed after they may have reached a target. */
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
		this.attemptSoftwareVersion = newTarget.softwareVersion();
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
	 * The caller of a request.
	 *
	 * @param customer the customer, empty on an open route without a key
	 * @param key the digest of the key, null for a request without a key
	 * @param weight the customer's share of the queue relative to other customers
	 */
	record Principal(String customer, @Nullable Sha256Digest key, double weight) {
	}

	/**
	 * The call that a request makes to a target.
	 *
	 * @param routeName the name of the route
	 * @param route the route
	 * @param method the HTTP method
	 * @param path the path and query for the target
	 * @param headers the headers for the target
	 * @param body the body, which depends on the progress so that an engine can resume
	 * @param identity what makes another request the same
	 * @param prefixHash the hash of customer and prompt prefix, 0 for none
	 * @param repeatable true if the request may be executed more than once
	 */
	record Call(String routeName, Specification.Route route, String method, String path, Map<String, String> headers,
			RequestBody body, RequestIdentity identity, long prefixHash, boolean repeatable) {

		String abbreviatedDigest() {
			return RequestIdentity.abbreviated(this.identity.digest());
		}

		boolean isEngine() {
			return this.route.protocol() == Specification.Protocol.ENGINE;
		}

	}

}
