package org.zinniatack.core.queue;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Holds the waiting requests of one pool and decides which is served next.
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
	 * Returns a queue that divides the served token cost among flows in proportion to
	 * their weights.
	 * @param <T> the type of a request
	 * @return the queue
	 */
	static <T> RequestQueue<T> weightedFair() {
		return new WeightedFairQueue<>();
	}

	/**
	 * Adds a request.
	 * @param request the request
	 * @param flow the flow that it is charged to
	 * @param costTokens its estimated cost, in tokens
	 */
	void add(T request, Flow flow, double costTokens);

	/**
	 * Returns whether no request is waiting.
	 * @return true if the queue is empty
	 */
	boolean isEmpty();

	/**
	 * Removes the next request of an eligible flow.
	 * @param eligible tells whether requests of a flow may run now
	 * @return the request, or empty if no waiting request is eligible
	 */
	Optional<T> poll(Predicate<Flow> eligible);

	/**
	 * Removes the requests that match a condition.
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
	 * The unit of fair sharing: requests of one customer and one kind.
	 *
	 * @param customer the customer
	 * @param bulk true for batch work, which no person waits for
	 * @param weight the customer's share relative to other customers
	 */
	record Flow(String customer, boolean bulk, double weight) {
	}

}
