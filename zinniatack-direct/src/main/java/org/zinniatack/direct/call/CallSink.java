package org.zinniatack.direct.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import org.zinniatack.core.result.ResultCode;

/**
 * Receives the outcome of a call: a whole answer, a stream, or a refusal.
 */
public interface CallSink {

	/**
	 * Receives a target's whole answer.
	 * @param head the status and headers
	 * @param body the body, which this call releases
	 */
	void answer(HttpResponse head, ByteBuf body);

	/**
	 * Learns that the call has no target's answer.
	 * @param code why
	 * @param retryAfterMs the time after which to come back, in milliseconds, 0 if that
	 * is not known to help
	 */
	void refuse(ResultCode code, long retryAfterMs);

	/**
	 * Receives the head of a stream.
	 * @param head the status and headers
	 */
	void beginStream(HttpResponse head);

	/**
	 * Receives a piece of a stream.
	 * @param content the piece, which the caller releases
	 * @return false if too much waits unread for the stream to go on; it is broken then
	 */
	boolean continueStream(ByteBuf content);

	/** Learns that the stream is whole. */
	void endStream();

	/** Learns that the stream ends before it is whole. */
	void breakStream();

	/**
	 * Learns that a target ran the call and failed; further targets may be asked.
	 * @param status the status code that the target gave
	 */
	default void attemptFailed(int status) {
	}

	/** Learns that a target has begun to run the call. */
	void executionStarted();

}
