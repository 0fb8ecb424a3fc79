package org.zinniatack.core.table;

/**
 * What may be done again with the requests of a route.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT,

	/** A request runs at most once for each attempt of its caller. */
	AT_MOST_ONCE,

	/** As {@link #AT_MOST_ONCE}, with an answer that is a stream of events. */
	STREAM,

	/** Requests come as jobs of many items, each of which may run more than once. */
	JOB;

	/**
	 * Returns whether a request may run again after it may have run.
	 * @return true if a second run does no harm
	 */
	public boolean isRepeatable() {
		return this == IDEMPOTENT || this == JOB;
	}

}
