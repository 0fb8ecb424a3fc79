package org.zinniatack.core.table;

/**
 * The retry semantics of a route's requests.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT,

	/** A request runs at most once for each attempt of its caller. */
	AT_MOST_ONCE,

	/**
	 * As {@link #AT_MOST_ONCE}, with an event stream as the response. A route may state
	 * that its streams can be resumed, and so repeated.
	 */
	STREAM,

	/** Requests arrive as jobs of many items, each of which may run more than once. */
	JOB;

	/**
	 * Returns whether a request may be retried although it may already have run.
	 * @return true if running the request twice is harmless
	 */
	public boolean isRepeatable() {
		return this == IDEMPOTENT || this == JOB;
	}

}
