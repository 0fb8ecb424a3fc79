package org.zinniatack.direct.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer to a request that was sent to a target. After
 * {@link #onEnd(HttpResponse)} or {@link #onFailure(RequestFailure)} nothing follows.
 */
public interface ResponseListener {

	/**
	 * Receives the head.
	 * @param head the status and headers
	 */
	void onHead(HttpResponse head);

	/**
	 * Returns how much of a body this listener takes. The connection of a longer one is
	 * closed and the answer counts as lost, since bytes may come without end.
	 * @return the longest body in bytes
	 */
	long maximumBodyBytes();

	/**
	 * Receives a piece of the body.
	 * @param content the piece, which the caller releases
	 */
	void onContent(ByteBuf content);

	/**
	 * Learns that the answer is whole.
	 * @param head the status and headers
	 */
	void onEnd(HttpResponse head);

	/**
	 * Learns that there is no whole answer.
	 * @param failure what happened
	 */
	void onFailure(RequestFailure failure);

}
