package org.zinniatack.entry;

import org.zinniatack.core.result.ServiceException;

/**
 * Receives the answer to one request. The last call is exactly one of {@code complete}
 * and {@code fail}.
 */
interface AnswerSink {

	/** Receives one event of an engine. Each event is delivered once and in order. */
	default void onEvent(EngineEvent event) {
	}

	/** Receives the complete answer. */
	void complete(Answer answer);

	/** Receives the reason why there is no complete answer. */
	void fail(ServiceException failure);

}
