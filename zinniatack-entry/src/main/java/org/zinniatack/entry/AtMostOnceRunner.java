package org.zinniatack.entry;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.AttemptOutcome;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;

/**
 * Runs requests that may not be repeated. Commits the intent to control before the
 * request is sent, and the outcome before the caller receives it.
 */
final class AtMostOnceRunner {

	private static final long IN_PROGRESS_RETRY_MS = 1_000;

	private final Proposer control;

	private final Starter starter;

	AtMostOnceRunner(Proposer control, Starter starter) {
		this.control = control;
		this.starter = starter;
	}

	/**
	 * Runs a request, or returns the answer of the earlier run with the same key.
	 * @param customer the customer
	 * @param idempotencyKey the idempotency key that the caller sent
	 * @param requestDigest the digest of route and body
	 * @param atMs the time, in milliseconds since the epoch
	 * @return the answer; it fails with a {@link ServiceException} whose outcome says
	 * whether the request may have run
	 */
	CompletableFuture<Answer> run(String customer, String idempotencyKey, String requestDigest, long atMs) {
		Command.BeginIntent intent = new Command.BeginIntent(customer, idempotencyKey, requestDigest,
				UUID.randomUUID().toString(), atMs);
		return this.control.propose(intent).thenCompose((reply) -> afterIntent(reply, intent));
	}

	private CompletableFuture<Answer> afterIntent(Reply reply, Command.BeginIntent intent) {
		try {
			AttemptOutcome earlier = ((Reply.Intent) reply.orThrow()).answer();
			return switch (earlier.state()) {
				case NOT_RUN -> start(intent);
				case RAN -> CompletableFuture.completedFuture(Answer.of(earlier));
				case RUNNING -> CompletableFuture.failedFuture(ServiceException.retryable(ResultCode.IN_PROGRESS,
						"retry with the same idempotency key", IN_PROGRESS_RETRY_MS));
				case UNKNOWN -> CompletableFuture.failedFuture(ServiceException.of(ResultCode.NOT_REPEATED,
						"check with the service whether the earlier attempt ran"));
			};
		}
		catch (ServiceException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<Answer> start(Command.BeginIntent intent) {
		FutureSink sink = new FutureSink();
		OutcomeCommittingSink committing = new OutcomeCommittingSink(sink, intent, this.control);
		try {
			this.starter.start(committing);
		}
		catch (ServiceException ex) {
			committing.fail(ex);
		}
		return sink.answer;
	}

	/** Submits a request that answers to the given sink. */
	interface Starter {

		void start(AnswerSink sink) throws ServiceException;

	}

	private static final class FutureSink implements AnswerSink {

		private final CompletableFuture<Answer> answer = new CompletableFuture<>();

		@Override
		public void complete(Answer result) {
			this.answer.complete(result);
		}

		@Override
		public void fail(ServiceException failure) {
			this.answer.completeExceptionally(failure);
		}

	}

}
