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
 */
public record Pool(String name, int maximumConnections, int slotCount, List<String> models) {

	/**
	 * Copies the models.
	 */
	public Pool {
		models = List.copyOf(models);
	}

}
