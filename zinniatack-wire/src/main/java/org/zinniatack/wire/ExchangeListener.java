package org.zinniatack.wire;

import org.zinniatack.core.result.ResultCode;

/**
 * The asking side of an exchange. Calls come in order from one thread.
 */
public interface ExchangeListener {

	/**
	 * Receives a message of the exchange.
	 * @param message the message
	 * @param last true if nothing follows
	 */
	void onMessage(Message message, boolean last);

	/**
	 * Learns that the exchange ended without its last message.
	 * @param code the reason, PEER_LOST or CALL_TIMED_OUT
	 */
	void onLost(ResultCode code);

}
