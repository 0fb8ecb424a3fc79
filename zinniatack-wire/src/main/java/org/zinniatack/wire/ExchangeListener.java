package org.zinniatack.wire;

import org.zinniatack.core.result.ResultCode;

/**
 * Receives the answers of an exchange on the side that opened it. Its methods are called
 * in order by the connection's event loop.
 */
public interface ExchangeListener {

	/**
	 * Receives an answer.
	 * @param message the answer
	 * @param last true if no further answer follows
	 */
	void onMessage(Message message, boolean last);

	/**
	 * Called when the exchange ended without its last message.
	 * @param code the reason, PEER_LOST or CALL_TIMED_OUT
	 */
	void onLost(ResultCode code);

}
