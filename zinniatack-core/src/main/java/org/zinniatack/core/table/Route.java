package org.zinniatack.core.table;

import java.util.List;

/**
 * A rule that sends the requests of one host and path prefix to pools of targets.
 *
 * @param name the name of the route
 * @param host the host that selects the route
 * @param pathPrefix the path prefix that selects the route
 * @param kind the retry semantics of the requests
 * @param resumable true if a stream may be continued by another target
 * @param open true if requests need no key
 * @param timeoutMs the maximum time to keep a request waiting, in milliseconds
 * @param targetLatencyMs the latency objective of a response, in milliseconds
 * @param priority the priority, 0 for the most urgent
 * @param maximumAttempts the maximum number of targets tried per request of a caller
 * @param shares the pools that serve the route
 * @param jobDeadlineMs the time after submission at which all results of a job are due,
 * in milliseconds, 0 for a route without jobs
 * @param itemLifetimeMs the time after submission at which an item of a job may be given
 * up, in milliseconds, 0 for a route without jobs
 * @param singleVersion true if a single weight version must generate the whole response
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, boolean resumable, boolean open,
		long timeoutMs, long targetLatencyMs, int priority, int maximumAttempts, List<PoolShare> shares,
		long jobDeadlineMs, long itemLifetimeMs, boolean singleVersion) {

	/**
	 * Copies the shares.
	 */
	public Route {
		shares = List.copyOf(shares);
	}

	/**
	 * Returns whether a request may be retried although it may already have run.
	 * @return true if running the request twice is harmless
	 */
	public boolean isRepeatable() {
		return this.kind.isRepeatable() || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Selects a pool in proportion to the weights of the shares.
	 * @param position a number from 0 inclusive to 1 exclusive, evenly distributed over
	 * the requests of the route
	 * @return the name of the pool
	 */
	public String selectPool(double position) {
		long total = this.shares.stream().mapToLong(PoolShare::weight).sum();
		double remaining = position * total;
		for (PoolShare share : this.shares) {
			remaining -= share.weight();
			if (share.weight() > 0 && remaining < 0) {
				return share.pool();
			}
		}
		return this.shares.get(this.shares.size() - 1).pool();
	}

}
