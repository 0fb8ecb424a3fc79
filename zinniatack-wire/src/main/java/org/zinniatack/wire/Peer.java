package org.zinniatack.wire;

import java.util.concurrent.CompletableFuture;

/**
 * An authenticated connection to another process of the system.
 */
public interface Peer {

	/**
	 * Sends a request that is answered by a single message.
	 * @param request the request
	 * @param timeoutMs the longest wait for the answer, in milliseconds
	 * @return the answer; fails with a
	 * {@link org.zinniatack.core.result.ServiceException} if the peer answers with a
	 * failure, the connection is lost, or the timeout expires
	 */
	CompletableFuture<Message> call(Message request, long timeoutMs);

	/**
	 * Closes the connection.
	 */
	void close();

	/**
	 * Returns the identity of the process at the other end.
	 * @return the identity that the handshake established
	 */
	PeerIdentity identity();

	/**
	 * Returns whether the connection is open.
	 * @return true while the connection is open
	 */
	boolean isOpen();

	/**
	 * Opens an exchange, in which a request may be answered by several messages.
	 * @param request the request
	 * @param listener the receiver of the answers
	 * @return an action that cancels the exchange; the listener is not called after that
	 */
	Runnable openExchange(Message request, ExchangeListener listener);

	/**
	 * Sends a notification, a message that expects no answer.
	 * @param notification the message
	 */
	void send(Message notification);

	/**
	 * Sends a notification that is encoded already.
	 * @param notification the notification
	 */
	default void send(EncodedNotification notification) {
		send(notification.message());
	}

	/**
	 * Registers an action to run once the connection is closed.
	 * @param action the action, run at once if the connection is closed already
	 */
	void whenClosed(Runnable action);

}
