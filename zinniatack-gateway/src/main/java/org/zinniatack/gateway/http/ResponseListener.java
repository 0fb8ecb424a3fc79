package org.zinniatack.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to a request that was sent to a target.
 * {@link #onEnd(HttpResponse)} or {@link #onFailure(RequestFailure)} is the last call.
 */
public interface ResponseListener {

	/**
	 * Returns whether the request may still be sent. It is asked immediately before the
	 * request is written, which may be some time after the call if its connection has to
	 * be opened first.
	 * @return false to fail the request without sending it
	 */
	default boolean maySend() {
		return true;
	}

	/**
	 * Receives the status line and headers.
	 * @param head the status and headers
	 */
	void onHead(HttpResponse head);

	/**
	 * Returns the limit on the size of the body. A longer body may never end: its
	 * connection is closed and the request fails.
	 * @return the limit in bytes
	 */
	long maximumBodyBytes();

	/**
	 * Receives a chunk of the body.
	 * @param content the chunk, which the caller of this method releases
	 */
	void onContent(ByteBuf content);

	/**
	 * Called when the response is complete.
	 * @param head the status and headers
	 */
	void onEnd(HttpResponse head);

	/**
	 * Called when there will be no complete response.
	 * @param failure the reason
	 */
	void onFailure(RequestFailure failure);

}
