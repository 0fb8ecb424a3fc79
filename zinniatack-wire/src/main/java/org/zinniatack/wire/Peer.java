package org.zinniatack.wire;

import java.util.concurrent.CompletableFuture;

/**
 * A connection to another process of the system, with its handshake done.
 */
public interface Peer {

	/**
	 * Sends a request that one message answers.
	 * @param request the request
	 * @param timeoutMs the longest wait, in milliseconds
	 * @return the answer; it fails with a
	 * {@link org.zinniatack.core.result.ServiceException} if the peer answers with a
	 * failure, is lost, or is silent for too long
	 */
	CompletableFuture<Message> call(Message request, long timeoutMs);

	/**
	 * Closes the connection.
	 */
	void close();

	/**
	 * Returns who is at the other end.
	 * @return the identity that the peer proved
	 */
	PeerIdentity identity();

	/**
	 * Returns whether the connection is open.
	 * @return true while messages can be sent
	 */
	boolean isOpen();

	/**
	 * Opens an exchange that several messages answer.
	 * @param request the first message
	 * @param listener who receives the answers
	 * @return an action that cancels the exchange; its listener hears nothing more
	 */
	Runnable openExchange(Message request, ExchangeListener listener);

	/**
	 * Sends a message that expects no answer.
	 * @param notice the message
	 */
	void send(Message notice);

	/**
	 * Names what to do once the connection is closed.
	 * @param action the action, run at once if it is closed already
	 */
	void whenClosed(Runnable action);

}
