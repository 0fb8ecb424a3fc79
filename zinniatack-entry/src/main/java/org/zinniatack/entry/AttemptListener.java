package org.zinniatack.entry;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.ExchangeListener;
import org.zinniatack.wire.Message;

/**
 * Forwards the messages of an agent about one attempt to the dispatcher. The attempt
 * number lets the dispatcher ignore messages of attempts that have been replaced.
 */
final class AttemptListener implements ExchangeListener {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final QueueingDispatcher dispatcher;

	private final CallerRequest request;

	private final TargetLink target;

	private final int attemptNumber;

	AttemptListener(QueueingDispatcher dispatcher, CallerRequest request, TargetLink target, int attemptNumber) {
		this.dispatcher = dispatcher;
		this.request = request;
		this.target = target;
		this.attemptNumber = attemptNumber;
	}

	int attemptNumber() {
		return this.attemptNumber;
	}

	@Override
	public void onMessage(Message message, boolean last) {
		if (message instanceof Message.AnswerHead head) {
			this.dispatcher.onHead(this.request, this.attemptNumber, head);
		}
		else if (message instanceof Message.AnswerChunk chunk) {
			this.dispatcher.onChunk(this.request, this.attemptNumber, chunk.data());
		}
		else if (message instanceof Message.AnswerEnd) {
			this.dispatcher.onEnd(this.request, this.attemptNumber);
		}
		else if (message instanceof Message.Failure failure) {
			this.dispatcher.onFailure(this.request, this.attemptNumber,
					ServiceException.retryable(failure.code(), failure.detail(), failure.retryAfterMs()));
		}
	}

	@Override
	public void onLost(ResultCode code) {
		LOGGER.atInfo().log("event=attempt_lost request=%s target=%s", this.request.id(), this.target.targetId());
		this.dispatcher.onTargetLost(this.request, this.attemptNumber);
	}

}
