package org.zinniatack.core.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Tracks at-most-once requests by customer and idempotency key. An attempt is registered
 * before it is dispatched, so at most one runs.
 */
public final class IntentTable {

	private static final long RETENTION_MS = 24 * 3_600_000L;

	private static final long ATTEMPT_TIMEOUT_MS = 600_000;

	private final Map<IntentKey, Intent> intents = new LinkedHashMap<>();

	static IntentTable of(Collection<Intent> intents) {
		IntentTable table = new IntentTable();
		intents.forEach((intent) -> table.intents.put(intent.key(), intent));
		return table;
	}

	/**
	 * Registers an attempt and returns NOT_RUN if it may run; otherwise returns the
	 * outcome of the earlier attempt. Resending the command of a running attempt returns
	 * NOT_RUN again.
	 */
	AttemptOutcome begin(Command.BeginIntent command) throws ServiceException {
		removeBefore(command.atMs() - RETENTION_MS);
		IntentKey key = new IntentKey(command.customer(), command.idempotencyKey());
		Intent found = this.intents.computeIfPresent(key, (same, intent) -> intent.expire(command.atMs()));
		if (found != null && !found.requestDigest().equals(command.requestDigest())) {
			throw ServiceException.of(ResultCode.IDEMPOTENCY_KEY_REUSED,
					"the idempotency key was used for another request");
		}
		if (found == null || found.answer().state() == AttemptOutcome.State.NOT_RUN) {
			this.intents.remove(key);
			this.intents.put(key, new Intent(command.customer(), command.idempotencyKey(), command.requestDigest(),
					command.attempt(), command.atMs(), AttemptOutcome.of(AttemptOutcome.State.RUNNING)));
			return AttemptOutcome.of(AttemptOutcome.State.NOT_RUN);
		}
		boolean resent = found.attempt().equals(command.attempt())
				&& found.answer().state() == AttemptOutcome.State.RUNNING;
		return resent ? AttemptOutcome.of(AttemptOutcome.State.NOT_RUN) : found.answer();
	}

	/** Records the outcome of the current attempt; ignores any other attempt. */
	void finish(Command.FinishIntent command) {
		this.intents.computeIfPresent(new IntentKey(command.customer(), command.idempotencyKey()),
				(key, intent) -> intent.finish(command));
	}

	List<Intent> images() {
		return new ArrayList<>(this.intents.values());
	}

	private void removeBefore(long atMs) {
		Iterator<Intent> oldestFirst = this.intents.values().iterator();
		while (oldestFirst.hasNext() && oldestFirst.next().atMs() < atMs) {
			oldestFirst.remove();
		}
	}

	/**
	 * An at-most-once request with its current attempt.
	 *
	 * @param customer the name of the customer
	 * @param idempotencyKey the caller's idempotency key
	 * @param requestDigest the digest of route and body
	 * @param attempt the id of the attempt
	 * @param atMs the start of the attempt, in milliseconds since the epoch
	 * @param answer the outcome of the attempt so far
	 */
	public record Intent(String customer, String idempotencyKey, String requestDigest, String attempt, long atMs,
			AttemptOutcome answer) {

		IntentKey key() {
			return new IntentKey(this.customer, this.idempotencyKey);
		}

		/**
		 * Marks an attempt as unknown if it has been running for longer than the timeout.
		 */
		Intent expire(long nowMs) {
			boolean expired = this.answer.state() == AttemptOutcome.State.RUNNING
					&& nowMs - this.atMs > ATTEMPT_TIMEOUT_MS;
			return expired ? withOutcome(AttemptOutcome.of(AttemptOutcome.State.UNKNOWN)) : this;
		}

		Intent finish(Command.FinishIntent command) {
			boolean undecided = this.answer.state() == AttemptOutcome.State.RUNNING
					|| this.answer.state() == AttemptOutcome.State.UNKNOWN;
			return (undecided && this.attempt.equals(command.attempt())) ? withOutcome(command.answer()) : this;
		}

		Intent withOutcome(AttemptOutcome outcome) {
			return new Intent(this.customer, this.idempotencyKey, this.requestDigest, this.attempt, this.atMs, outcome);
		}

	}

	private record IntentKey(String customer, String idempotencyKey) {
	}

}
