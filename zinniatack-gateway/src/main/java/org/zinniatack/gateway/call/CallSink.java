package org.zinniatack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import org.zinniatack.core.result.ResultCode;

/**
 * Receives the outcome of a call: a complete response, a stream or a refusal.
 */
public interface CallSink {

	/**
	 * Receives a target's complete response.
	 * @param head the status and headers
	 * @param body the body, which the implementation releases
	 */
	void answer(HttpResponse head, ByteBuf body);

	/**
	 * Called when the call ends without a response from a target.
	 * @param code the reason
	 * @param retryAfterMs the time after which to retry, in milliseconds, or 0 if a retry
	 * is not known to help
	 */
	void refuse(ResultCode code, long retryAfterMs);

	/**
	 * Receives the status and headers of a streamed response.
	 * @param head the status and headers
	 */
	void beginStream(HttpResponse head);

	/**
	 * Receives a chunk of a streamed response.
	 * @param content the chunk, which the caller of this method releases
	 * @return false to abort the stream because too many bytes wait to be read
	 */
	boolean continueStream(ByteBuf content);

	/** Called when the stream is complete. */
	void endStream();

	/** Called when the stream ends before it is complete. */
	void breakStream();

	/**
	 * Called when a target ran the call and failed; the call may be sent to further
	 * targets.
	 * @param status the HTTP status code of the target's response
	 */
	default void attemptFailed(int status) {
	}

	/** Called once per call when a target has begun to run it. */
	void executionStarted();

}
