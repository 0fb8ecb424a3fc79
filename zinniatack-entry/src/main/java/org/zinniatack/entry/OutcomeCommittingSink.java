package org.zinniatack.entry;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.AttemptOutcome;
import org.zinniatack.core.state.Command;

/**
 * Commits the outcome of a request that may not be repeated before the caller receives
 * it. A repeat through any entry then gets the same answer.
 */
final class OutcomeCommittingSink implements AnswerSink {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int MAXIMUM_STORED_BYTES = 256 * 1024;

	private final AnswerSink next;

	private final Command.BeginIntent intent;

	private final Proposer control;

	OutcomeCommittingSink(AnswerSink next, Command.BeginIntent intent, Proposer control) {
		this.next = next;
		this.intent = intent;
		this.control = control;
	}

	@Override
	public void complete(Answer answer) {
		boolean storable = answer.body().length <= MAXIMUM_STORED_BYTES;
		AttemptOutcome outcome = storable
				? new AttemptOutcome(AttemptOutcome.State.RAN, answer.httpStatus(), answer.contentType(), answer.body())
				: AttemptOutcome.of(AttemptOutcome.State.UNKNOWN);
		commit(outcome, () -> this.next.complete(answer));
	}

	@Override
	public void fail(ServiceException failure) {
		boolean notRun = failure.code().outcome() == Outcome.NOT_RUN;
		commit(AttemptOutcome.of(notRun ? AttemptOutcome.State.NOT_RUN : AttemptOutcome.State.UNKNOWN),
				() -> this.next.fail(failure));
	}

	private void commit(AttemptOutcome outcome, Runnable then) {
		this.control
			.propose(new Command.FinishIntent(this.intent.customer(), this.intent.idempotencyKey(),
					this.intent.attempt(), outcome))
			.whenComplete((reply, failure) -> {
				if (failure != null) {
					LOGGER.atWarning().log("event=outcome_uncommitted attempt=%s", this.intent.attempt());
				}
				then.run();
			});
	}

}
