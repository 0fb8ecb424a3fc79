package org.zinniatack.control;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Finds the index that a read must include. While a leader is elected or connected to,
 * the lookup is repeated, since it changes nothing and soon succeeds. Once lookups have
 * failed for that long, later ones are refused at once until one succeeds.
 */
final class ReadIndexes {

	/** An election, and the time to open a connection to its winner. */
	static final long LIMIT_MS = 1_500;

	/** A leader that is silent for longer than this is being replaced. */
	private static final long ATTEMPT_MS = 700;

	private static final long RETRY_MS = 50;

	private static final Set<ResultCode> TEMPORARY = Set.of(ResultCode.NOT_LEADER, ResultCode.PEER_LOST,
			ResultCode.CALL_TIMED_OUT);

	private final LongFunction<CompletableFuture<Long>> lookup;

	private final LongSupplier clockMs;

	private final ScheduledExecutorService timer;

	private volatile long failingSinceMs;

	private volatile long failedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates the lookups of one process.
	 * @param lookup asks the leader that is known now, with the longest wait for the
	 * answer in milliseconds
	 * @param clockMs the monotonic time, in milliseconds
	 * @param timer runs the repetitions
	 */
	ReadIndexes(LongFunction<CompletableFuture<Long>> lookup, LongSupplier clockMs, ScheduledExecutorService timer) {
		this.lookup = lookup;
		this.clockMs = clockMs;
		this.timer = timer;
	}

	/**
	 * Returns the index of an entry at or after every change that was accepted before the
	 * call. The future fails with the last failure once lookups have failed for
	 * {@link #LIMIT_MS}, and at once with a failure that does not pass by itself.
	 */
	CompletableFuture<Long> find() {
		long nowMs = this.clockMs.getAsLong();
		boolean failing = nowMs - this.failedAtMs < LIMIT_MS;
		return findUntil(failing ? this.failingSinceMs + LIMIT_MS : nowMs + LIMIT_MS);
	}

	private CompletableFuture<Long> findUntil(long untilMs) {
		long startedMs = this.clockMs.getAsLong();
		CompletableFuture<Long> attempt = this.lookup.apply(ATTEMPT_MS);
		return attempt.handle((index, failure) -> {
			long nowMs = this.clockMs.getAsLong();
			record(failure != null, startedMs, nowMs);
			boolean repeats = failure != null && isTemporary(failure) && nowMs + RETRY_MS < untilMs;
			return repeats ? repeatLater(untilMs, failure) : attempt;
		}).thenCompose((next) -> next);
	}

	private void record(boolean failed, long startedMs, long nowMs) {
		if (failed && nowMs - this.failedAtMs >= LIMIT_MS) {
			this.failingSinceMs = startedMs;
		}
		this.failedAtMs = failed ? nowMs : Long.MIN_VALUE / 2;
	}

	private CompletableFuture<Long> repeatLater(long untilMs, Throwable failure) {
		// Unlike a delayed executor, this one throws if the timer is stopped.
		Executor delayed = (task) -> this.timer.schedule(task, RETRY_MS, TimeUnit.MILLISECONDS);
		try {
			return CompletableFuture.supplyAsync(() -> untilMs, delayed).thenCompose(this::findUntil);
		}
		catch (RejectedExecutionException ex) {
			// The process is stopping.
			return CompletableFuture.failedFuture(failure);
		}
	}

	private static boolean isTemporary(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof ServiceException known && TEMPORARY.contains(known.code());
	}

}
