package org.zinniatack.wire;

import org.zinniatack.core.result.ResultCode;

/**
 * Handles the connections of a process. All methods for one connection are called by its
 * event loop and must not block.
 */
public interface PeerHandler {

	/**
	 * Called when a connection is open and its peer is authenticated.
	 * @param peer the connection
	 */
	default void onOpen(Peer peer) {
	}

	/**
	 * Called when a connection is closed.
	 * @param peer the connection
	 */
	default void onClosed(Peer peer) {
	}

	/**
	 * Receives a notification, a message that expects no answer.
	 * @param peer the connection
	 * @param message the notification
	 */
	default void onNotification(Peer peer, Message message) {
	}

	/**
	 * Receives the request that opens an exchange. By default it is answered with
	 * FRAME_MALFORMED.
	 * @param peer the connection
	 * @param message the request
	 * @param responder the sender of the answers
	 */
	default void onRequest(Peer peer, Message message, Responder responder) {
		responder.respond(new Message.Failure(ResultCode.FRAME_MALFORMED,
				"unexpected message " + message.getClass().getSimpleName(), 0), true);
	}

}
