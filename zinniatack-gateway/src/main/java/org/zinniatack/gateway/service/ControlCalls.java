package org.zinniatack.gateway.service;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Calls to the connected control processes.
 */
interface ControlCalls {

	/**
	 * Calls one control process after the other until one replies.
	 * @return the reply; it fails with a code whose outcome is NOT_RUN only if no process
	 * can have carried out the message
	 */
	CompletableFuture<Message> call(Message message, long extraTimeoutMs);

	/**
	 * Calls all connected control processes.
	 * @return their replies
	 */
	List<CompletableFuture<Message>> callAll(Message message, long timeoutMs);

	/**
	 * Returns some of the connected control processes, the same ones for a key as long as
	 * they are connected.
	 */
	List<Peer> select(String key, int count);

}
