package org.zinniatack.core.table;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The routes, pools, customers and limits of the service. A table is replaced as a whole,
 * and the one with the highest number is current.
 *
 * @param number the number that the operator gave the table
 * @param routes the routes
 * @param pools the pools by name
 * @param customers the customers, empty if requests need no key
 * @param limits the limits for callers
 */
public record RoutingTable(long number, List<Route> routes, Map<String, Pool> pools, List<Customer> customers,
		CallerLimits limits) {

	/**
	 * Copies the collections.
	 */
	public RoutingTable {
		routes = List.copyOf(routes);
		pools = Map.copyOf(pools);
		customers = List.copyOf(customers);
	}

	/**
	 * Returns the pools whose requests to cold targets are bounded.
	 * @return the time for which a target is cold after its start by pool, in
	 * milliseconds
	 */
	public Map<String, Long> coldStartMsByPool() {
		return this.pools.values()
			.stream()
			.filter(Pool::boundsColdTargets)
			.collect(Collectors.toMap(Pool::name, Pool::coldStartMs));
	}

	/**
	 * Checks the table for conflicts and invalid values.
	 * @return this table
	 * @throws ServiceException with RECORD_INVALID and the reason if the table is invalid
	 */
	public RoutingTable requireValid() throws ServiceException {
		Set<String> hostsAndPrefixes = new HashSet<>();
		for (Route route : this.routes) {
			requireValid(route);
			if (!hostsAndPrefixes.add(route.host() + ' ' + route.pathPrefix())) {
				throw invalid("two routes share host %s and prefix %s".formatted(route.host(), route.pathPrefix()));
			}
		}
		Set<String> digests = new HashSet<>();
		for (Customer customer : this.customers) {
			for (String digest : customer.keyDigests()) {
				if (!digests.add(digest)) {
					throw invalid("customer %s has a key digest that is listed twice".formatted(customer.name()));
				}
			}
		}
		return this;
	}

	private void requireValid(Route route) throws ServiceException {
		for (PoolShare share : route.shares()) {
			if (!this.pools.containsKey(share.pool())) {
				throw invalid("route %s refers to the unknown pool %s".formatted(route.name(), share.pool()));
			}
			if (share.weight() < 0) {
				throw invalid("route %s has a share with a negative weight".formatted(route.name()));
			}
		}
		if (route.shares().stream().mapToLong(PoolShare::weight).sum() <= 0) {
			throw invalid("the share weights of route %s add up to 0".formatted(route.name()));
		}
		if (route.timeoutMs() <= 0) {
			throw invalid("route %s has no positive timeout".formatted(route.name()));
		}
		if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
			throw invalid("the prefix of route %s does not begin and end with a slash".formatted(route.name()));
		}
	}

	private static ServiceException invalid(String detail) {
		return ServiceException.of(ResultCode.RECORD_INVALID, detail);
	}

}
