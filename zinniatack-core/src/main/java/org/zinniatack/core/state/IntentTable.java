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
 * The requests that may not be repeated, by customer and idempotency key. An attempt is
 * entered before it is dispatched, so at most one runs.
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

	/** Enters an attempt, or returns the answer of the earlier one. */
	AttemptOutcome begin(Command.BeginIntent command) throws ServiceException {
		forgetBefore(command.atMs() - RETENTION_MS);
		IntentKey key = new IntentKey(command.customer(), command.idempotencyKey());
		Intent found = this.intents.computeIfPresent(key, (same, intent) -> intent.expire(command.atMs()));
		if (found != null && !found.requestDigest().equals(command.requestDigest())) {
			throw ServiceException.of(ResultCode.IDEMPOTENCY_KEY_REUSED, "the key stands for another request");
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

	/** Notes what became of an attempt; another attempt's word changes nothing. */
	void finish(Command.FinishIntent command) {
		this.intents.computeIfPresent(new IntentKey(command.customer(), command.idempotencyKey()),
				(key, intent) -> intent.finish(command));
	}

	List<Intent> images() {
		return new ArrayList<>(this.intents.values());
	}

	private void forgetBefore(long atMs) {
		Iterator<Intent> oldestFirst = this.intents.values().iterator();
		while (oldestFirst.hasNext() && oldestFirst.next().atMs() < atMs) {
			oldestFirst.remove();
		}
	}

	/**
	 * A request that may not be repeated.
	 *
	 * @param customer the customer
	 * @param idempotencyKey the caller's key of the request
	 * @param requestDigest the digest of route and body
	 * @param attempt the id of the attempt
	 * @param atMs when the attempt began, in milliseconds since the epoch
	 * @param answer what became of it
	 */
	public record Intent(String customer, String idempotencyKey, String requestDigest, String attempt, long atMs,
			AttemptOutcome answer) {

		IntentKey key() {
			return new IntentKey(this.customer, this.idempotencyKey);
		}

		/** Gives up on an attempt whose entry has been silent for too long. */
		Intent expire(long nowMs) {
			boolean expired = this.answer.state() == AttemptOutcome.State.RUNNING
					&& nowMs - this.atMs > ATTEMPT_TIMEOUT_MS;
			return expired ? with(AttemptOutcome.of(AttemptOutcome.State.UNKNOWN)) : this;
		}

		Intent finish(Command.FinishIntent command) {
			boolean undecided = this.answer.state() == AttemptOutcome.State.RUNNING
					|| this.answer.state() == AttemptOutcome.State.UNKNOWN;
			return (undecided && this.attempt.equals(command.attempt())) ? with(command.answer()) : this;
		}

		Intent with(AttemptOutcome changed) {
			return new Intent(this.customer, this.idempotencyKey, this.requestDigest, this.attempt, this.atMs, changed);
		}

	}

	private record IntentKey(String customer, String idempotencyKey) {
	}

}
