package org.zinniatack.core.queue;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The waiting requests of one pool.
 *
 * @param <T> the type of a request
 */
public interface RequestQueue<T> {

	/**
	 * Returns a queue that serves in the order of arrival.
	 * @param <T> the type of a request
	 * @return the queue
	 */
	static <T> RequestQueue<T> firstInFirstOut() {
		return new FirstInFirstOutQueue<>();
	}

	/**
	 * Returns a queue that shares out token cost between flows by weight.
	 * @param <T> the type of a request
	 * @return the queue
	 */
	static <T> RequestQueue<T> weightedFair() {
		return new WeightedFairQueue<>();
	}

	/**
	 * Adds a request.
	 * @param request the request
	 * @param flow whose share it uses
	 * @param costTokens its estimated cost, in tokens
	 */
	void add(T request, Flow flow, double costTokens);

	/**
	 * Returns whether nothing waits.
	 * @return true if the queue is empty
	 */
	boolean isEmpty();

	/**
	 * Removes the next request that may run.
	 * @param eligible whether a request of a flow may run now
	 * @return the request, or empty if none may run
	 */
	Optional<T> poll(Predicate<Flow> eligible);

	/**
	 * Removes the requests that match.
	 * @param condition the condition
	 * @return the removed requests
	 */
	List<T> removeIf(Predicate<T> condition);

	/**
	 * Returns the number of waiting requests.
	 * @return the count
	 */
	int size();

	/**
	 * Returns the estimated cost of the waiting requests that would be served before a
	 * new one of a flow.
	 * @param flow the flow
	 * @return the cost, in tokens
	 */
	double costAhead(Flow flow);

	/**
	 * Whose share a request uses.
	 *
	 * @param customer the customer
	 * @param bulk true for generations that no person waits for
	 * @param weight the customer's share relative to others
	 */
	record Flow(String customer, boolean bulk, double weight) {
	}

}
