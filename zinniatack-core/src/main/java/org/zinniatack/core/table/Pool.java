package org.zinniatack.core.table;

import java.util.List;

/**
 * A pool of interchangeable targets.
 *
 * @param name the name of the pool
 * @param maximumConnections the number of connections that one target accepts from all
 * callers
 * @param slotCount the number of requests that an engine runs concurrently, 0 for a plain
 * service
 * @param models the models that the pool's engines serve
 * @param coldStartMs the time for which a target is cold after its start, in milliseconds
 * @param coldPerS the requests that a cold target tolerates per second, 0 for no bound
 */
public record Pool(String name, int maximumConnections, int slotCount, List<String> models, long coldStartMs,
		double coldPerS) {

	/**
	 * Copies the models.
	 */
	public Pool {
		models = List.copyOf(models);
	}

	/**
	 * Returns a pool without a bound for cold targets.
	 * @param name the name of the pool
	 * @param maximumConnections the number of connections that one target accepts
	 * @param slotCount the number of requests that an engine runs concurrently
	 * @param models the models that the pool's engines serve
	 */
	public Pool(String name, int maximumConnections, int slotCount, List<String> models) {
		this(name, maximumConnections, slotCount, models, 0, 0);
	}

	/**
	 * Returns whether the requests to cold targets are bounded.
	 * @return true if there is a bound
	 */
	public boolean boundsColdTargets() {
		return this.coldPerS > 0;
	}

}
