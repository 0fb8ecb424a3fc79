package org.zinniatack.wire;

import org.zinniatack.core.result.ResultCode;

/**
 * What a process does with its connections. Calls of one connection come from one thread
 * and must not block.
 */
public interface PeerHandler {

	/**
	 * Learns that a connection is open and its peer proved.
	 * @param peer the connection
	 */
	default void onOpen(Peer peer) {
	}

	/**
	 * Learns that a connection is closed.
	 * @param peer the connection
	 */
	default void onClosed(Peer peer) {
	}

	/**
	 * Receives a message that expects no answer.
	 * @param peer the connection
	 * @param message the message
	 */
	default void onNotification(Peer peer, Message message) {
	}

	/**
	 * Receives the first message of an exchange.
	 * @param peer the connection
	 * @param message the message
	 * @param responder where to answer
	 */
	default void onRequest(Peer peer, Message message, Responder responder) {
		responder.respond(new Message.Failure(ResultCode.FRAME_MALFORMED, "unexpected message", 0), true);
	}

}
