package org.zinniatack.core.table;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Finds the route of a request and the customer of a key in one routing table.
 */
public final class RouteIndex {

	private final RoutingTable table;

	/** The routes by host and path prefix; a prefix begins and ends with a slash. */
	private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

	private final Map<String, Customer> customersByDigest = new HashMap<>();

	/**
	 * Creates an index of a routing table.
	 * @param table the table to index
	 */
	public RouteIndex(RoutingTable table) {
		this.table = table;
		table.routes()
			.forEach((route) -> this.routesByHost.computeIfAbsent(route.host(), (host) -> new HashMap<>())
				.put(route.pathPrefix(), route));
		table.customers()
			.forEach((customer) -> customer.keyDigests()
				.forEach((digest) -> this.customersByDigest.put(digest, customer)));
	}

	/**
	 * Returns the customer that owns a call and all that it leaves behind. A key selects
	 * its customer whether the call needs one or not, and an unknown key is refused
	 * either way. Without customers nobody owns a call, whatever key it carries.
	 * @param key the key in plain text, as the caller sent it; null or empty if there is
	 * none
	 * @param open true if the call needs no key
	 * @return the customer, or empty if nobody owns the call
	 * @throws ServiceException with {@link ResultCode#KEY_MISSING} or
	 * {@link ResultCode#KEY_UNKNOWN} if the call is not allowed
	 */
	public Optional<Customer> ownerOf(@Nullable String key, boolean open) throws ServiceException {
		if (!needsKeys()) {
			return Optional.empty();
		}
		if (key == null || key.isEmpty()) {
			if (open) {
				return Optional.empty();
			}
			throw ServiceException.of(ResultCode.KEY_MISSING, "the route requires a key, but the request has none");
		}
		Customer customer = this.customersByDigest.get(Sha256Digest.of(key).hex());
		if (customer == null) {
			throw ServiceException.of(ResultCode.KEY_UNKNOWN, "the key of the request belongs to no customer");
		}
		return Optional.of(customer);
	}

	/**
	 * Returns the route with the longest matching path prefix.
	 * @param host the host, without a port
	 * @param path the path, with or without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> routeOf(String host, String path) {
		Map<String, Route> routes = this.routesByHost.getOrDefault(host, Map.of());
		int query = path.indexOf('?');
		int slash = path.lastIndexOf('/', (query < 0) ? path.length() : query);
		for (; slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			Route route = routes.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns whether requests of routes that are not open need a key.
	 * @return true if the table contains customers
	 */
	public boolean needsKeys() {
		return !this.table.customers().isEmpty();
	}

	/**
	 * Returns the indexed table.
	 * @return the table
	 */
	public RoutingTable table() {
		return this.table;
	}

}
