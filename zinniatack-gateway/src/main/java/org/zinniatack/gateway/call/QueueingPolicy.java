package org.zinniatack.gateway.call;

import java.util.function.Predicate;

import org.zinniatack.core.table.Route;

/**
 * Decides which calls wait for a target with room and which are refused at once.
 */
@FunctionalInterface
public interface QueueingPolicy {

	/**
	 * Callers that wait no longer cannot repeat a refused call in time, since a new
	 * connection to the platform may take a second.
	 */
	long MAXIMUM_TIMEOUT_MS = 1_000;

	/**
	 * Returns a policy that lets no call wait.
	 * @return the policy
	 */
	static QueueingPolicy never() {
		return (route, pool) -> false;
	}

	/**
	 * Returns a policy that lets calls wait whose callers cannot repeat them in time, and
	 * all calls to pools whose targets are paced.
	 * @param isPaced tells by its name whether the targets of a pool are paced
	 * @return the policy
	 */
	static QueueingPolicy forShortTimeouts(Predicate<String> isPaced) {
		return (route, pool) -> route.timeoutMs() <= MAXIMUM_TIMEOUT_MS || isPaced.test(pool);
	}

	/**
	 * Returns whether a call may wait.
	 * @param route the route of the call
	 * @param pool the pool that serves it
	 * @return false if it is refused at once when no target takes it
	 */
	boolean mayWait(Route route, String pool);

}
