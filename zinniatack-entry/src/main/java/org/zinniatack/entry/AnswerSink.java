package org.zinniatack.entry;

import org.zinniatack.core.result.ServiceException;

/**
 * Where the answer to one request goes. Exactly one of {@code end} and {@code fail} comes
 * last.
 */
interface AnswerSink {

	/** Receives one event of an engine, in order and once each. */
	default void onEvent(EngineEvent event) {
	}

	/** Receives the whole answer. */
	void complete(Answer answer);

	/** Learns that there is no whole answer. */
	void fail(ServiceException failure);

}
