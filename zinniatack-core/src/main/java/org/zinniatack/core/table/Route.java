package org.zinniatack.core.table;

import java.util.List;

/**
 * Where the requests of a host and path prefix go and what may be done with them.
 *
 * @param name the name
 * @param host the host that selects the route
 * @param pathPrefix the beginning of the path that selects the route
 * @param kind what may be done again
 * @param resumable true if a stream may be continued by another target
 * @param open true if requests need no key
 * @param timeoutMs the longest time to keep a request waiting, in milliseconds
 * @param targetLatencyMs the time within which an answer is worth most, in milliseconds
 * @param priority the rank, 0 for the most urgent
 * @param maximumAttempts the largest number of targets for one attempt of a caller
 * @param shares the pools that serve the route
 * @param jobDeadlineMs the time after which all results of a job are due, in
 * milliseconds, 0 for a route without jobs
 * @param itemLifetimeMs the time after which an item of a job may be given up, in
 * milliseconds, 0 for a route without jobs
 * @param singleVersion true if one weight version must have made the whole answer
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, boolean resumable, boolean open,
		long timeoutMs, long targetLatencyMs, int priority, int maximumAttempts, List<PoolShare> shares,
		long jobDeadlineMs, long itemLifetimeMs, boolean singleVersion) {

	/**
	 * Copies the arguments.
	 */
	public Route {
		shares = List.copyOf(shares);
	}

	/**
	 * Returns the pool for a point between 0 and 1.
	 * @param point where the request stands among all requests of the route
	 * @return the name of the pool
	 */
	public String selectPool(double point) {
		int total = this.shares.stream().mapToInt(PoolShare::weight).sum();
		double rest = point * total;
		for (PoolShare share : this.shares) {
			rest -= share.weight();
			if (share.weight() > 0 && rest < 0) {
				return share.pool();
			}
		}
		return this.shares.get(this.shares.size() - 1).pool();
	}

}
