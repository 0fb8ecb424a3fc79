package org.zinniatack.entry;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.AttemptOutcome;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;

/**
 * Runs requests that may not be repeated: the intent is committed before anything is
 * sent, and the outcome before the caller hears of it.
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
	 * Runs a request, or returns the answer of its earlier run under the same key.
	 * @param customer the customer
	 * @param idempotencyKey the caller's key of the request
	 * @param requestDigest the digest of route and body
	 * @param atMs the time, in milliseconds since the epoch
	 * @return the answer; it fails with a {@link ServiceException} that tells whether the
	 * request may have run
	 */
	CompletableFuture<Answer> run(String customer, String idempotencyKey, String requestDigest, long atMs) {
		Command.BeginIntent intent = new Command.BeginIntent(customer, idempotencyKey, requestDigest,
				UUID.randomUUID().toString(), atMs);
		return this.control.propose(intent).thenCompose((reply) -> afterIntent(reply, intent));
	}

	private CompletableFuture<Answer> afterIntent(Reply reply, Command.BeginIntent intent) {
		try {
			AttemptOutcome known = ((Reply.Intent) reply.orThrow()).answer();
			return switch (known.state()) {
				case NOT_RUN -> start(intent);
				case RAN -> CompletableFuture.completedFuture(Answer.of(known));
				case RUNNING -> CompletableFuture.failedFuture(ServiceException.retryable(ResultCode.IN_PROGRESS,
						"ask again with the same key", IN_PROGRESS_RETRY_MS));
				case UNKNOWN -> CompletableFuture
					.failedFuture(ServiceException.of(ResultCode.NOT_REPEATED, "find out from the service"));
			};
		}
		catch (ServiceException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<Answer> start(Command.BeginIntent intent) {
		FutureSink sink = new FutureSink();
		OutcomeCommittingSink once = new OutcomeCommittingSink(sink, intent, this.control);
		try {
			this.starter.start(once);
		}
		catch (ServiceException ex) {
			once.fail(ex);
		}
		return sink.answer;
	}

	/** Sends a request on its way. */
	interface Starter {

		void start(AnswerSink sink) throws ServiceException;

	}

	private static final class FutureSink implements AnswerSink {

		private final CompletableFuture<Answer> answer = new CompletableFuture<>();

		@Override
		public void complete(Answer whole) {
			this.answer.complete(whole);
		}

		@Override
		public void fail(ServiceException failure) {
			this.answer.completeExceptionally(failure);
		}

	}

}
