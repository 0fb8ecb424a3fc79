package org.zinniatack.core.table;

import java.util.List;

/**
 * Targets that serve the same requests.
 *
 * @param name the name
 * @param maximumConnections the connections that one target accepts from all callers
 * @param slotCount the requests that an engine runs at once, 0 for a plain service
 * @param models the models that the pool's engines serve
 */
public record Pool(String name, int maximumConnections, int slotCount, List<String> models) {

	/**
	 * Copies the arguments.
	 */
	public Pool {
		models = List.copyOf(models);
	}

}
