package org.zinniatack.agent;

import java.util.concurrent.CompletableFuture;

import org.zinniatack.wire.Message;

/**
 * The target beside an agent.
 */
interface Target {

	/**
	 * Runs a request.
	 * @param run the request
	 * @param receiver who receives the answer
	 * @return an action that ends the request at the target
	 */
	Runnable run(Message.Run run, Receiver receiver);

	/**
	 * Asks the target for its health and weight version.
	 * @return the state; it fails if the target does not answer
	 */
	CompletableFuture<State> state();

	/**
	 * Orders the target to load weights.
	 * @param version the weight version
	 * @param fencingNumber the epoch of the leader that gave the order
	 * @return completes once the target has accepted the order
	 */
	CompletableFuture<Void> loadWeights(long version, long fencingNumber);

	/** Receives an answer. Exactly one of {@code end} and {@code failed} comes last. */
	interface Receiver {

		void head(int httpStatus, String contentType);

		void chunk(byte[] data);

		void end();

		void failed(Throwable failure, boolean reached);

	}

	/**
	 * What a target says of itself.
	 *
	 * @param weightVersion the weight version in use, 0 for a plain service
	 */
	record State(long weightVersion) {
	}

}
