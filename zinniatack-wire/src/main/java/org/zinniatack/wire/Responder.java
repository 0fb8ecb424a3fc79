package org.zinniatack.wire;

import java.util.concurrent.CompletableFuture;

/**
 * Sends the answers of an exchange that the other side opened.
 */
public interface Responder {

	/**
	 * Registers an action to run if the other side cancels the exchange or the connection
	 * is lost before the last answer.
	 * @param action the action, run at most once, immediately if that has happened
	 * already
	 */
	void onCancel(Runnable action);

	/**
	 * Sends an answer. The last answer ends the exchange; after a cancellation, answers
	 * are discarded.
	 * @param message the answer
	 * @param last true if no further answer follows
	 * @return completes when the answer was written to the socket or will never be; a
	 * sender that waits for it does not get ahead of the reader
	 */
	CompletableFuture<Void> respond(Message message, boolean last);

}
