package org.zinniatack.wire;

/**
 * The answering side of an exchange.
 */
public interface Responder {

	/**
	 * Names what to do when the other side cancels the exchange or is lost.
	 * @param action the action, run at most once
	 */
	void onCancel(Runnable action);

	/**
	 * Sends a message; after the last one the exchange is over.
	 * @param message the message
	 * @param last true if nothing follows
	 */
	void respond(Message message, boolean last);

}
