package org.zinniatack.agent;

import java.util.concurrent.CompletableFuture;

import org.zinniatack.wire.Message;

/**
 * The model engine or plain service that an agent runs requests on.
 */
interface Target {

	/**
	 * Runs a request.
	 * @param run the request
	 * @param receiver receives the answer
	 * @return an action that cancels the request
	 */
	Runnable run(Message.Run run, Receiver receiver);

	/**
	 * Requests the weight version of the target, which also checks its health.
	 * @return the state; completes exceptionally if the target does not answer
	 */
	CompletableFuture<State> state();

	/**
	 * Orders the target to load weights.
	 * @param version the weight version
	 * @param fencingNumber the epoch of the leader that gave the order
	 * @return completes once the target has accepted the order, exceptionally if it fails
	 */
	CompletableFuture<Void> loadWeights(long version, long fencingNumber);

	/**
	 * Receives an answer. The last call is exactly one of {@code end} and {@code failed}.
	 */
	interface Receiver {

		void head(int httpStatus, String contentType);

		/**
		 * Receives a part of the body.
		 * @param data the bytes
		 * @return completes when they were passed on to the entry
		 */
		CompletableFuture<Void> chunk(byte[] data);

		void end();

		void failed(Throwable failure, boolean targetReached);

	}

	/**
	 * The state that a target reports.
	 *
	 * @param weightVersion the weight version in use, 0 for a plain service
	 * @param softwareVersion the version of its software, empty if it states none
	 */
	record State(long weightVersion, String softwareVersion) {
	}

}
