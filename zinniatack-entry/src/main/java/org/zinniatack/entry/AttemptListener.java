package org.zinniatack.entry;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.ExchangeListener;
import org.zinniatack.wire.Message;

/**
 * Receives what an agent answers to one attempt and names the attempt to the dispatcher,
 * which passes over answers of attempts that are no longer the newest.
 */
final class AttemptListener implements ExchangeListener {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final Dispatcher dispatcher;

	private final CallerRequest request;

	private final TargetLink target;

	private final int number;

	AttemptListener(Dispatcher dispatcher, CallerRequest request, TargetLink target, int number) {
		this.dispatcher = dispatcher;
		this.request = request;
		this.target = target;
		this.number = number;
	}

	int number() {
		return this.number;
	}

	@Override
	public void onMessage(Message message, boolean last) {
		if (message instanceof Message.AnswerHead head) {
			this.dispatcher.onHead(this.request, this.number, head);
		}
		else if (message instanceof Message.AnswerChunk chunk) {
			this.dispatcher.onChunk(this.request, this.number, chunk.data());
		}
		else if (message instanceof Message.AnswerEnd) {
			this.dispatcher.onEnd(this.request, this.number);
		}
		else if (message instanceof Message.Failure failure) {
			this.dispatcher.onFailure(this.request, this.number,
					ServiceException.retryable(failure.code(), failure.detail(), failure.retryAfterMs()));
		}
	}

	@Override
	public void onLost(ResultCode code) {
		LOGGER.atInfo().log("event=attempt_lost request=%s target=%s", this.request.id(), this.target.targetId());
		this.dispatcher.onLost(this.request, this.number);
	}

}
