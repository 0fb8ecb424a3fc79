package org.zinniatack.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Finds out who sends a request and whether it may use a route.
 */
final class Caller {

	private static final String SCHEME = "Bearer ";

	private static final String KEY_HEADER = "X-Api-Key";

	private Caller() {
	}

	/** Returns the key of a request, or empty if it has none. */
	static Optional<String> keyOf(HttpRequest<?> request) {
		HttpHeaders headers = request.getHeaders();
		return Optional.ofNullable(headers.get(HttpHeaders.AUTHORIZATION))
			.filter((value) -> value.startsWith(SCHEME))
			.map((value) -> value.substring(SCHEME.length()))
			.or(() -> Optional.ofNullable(headers.get(KEY_HEADER)))
			.filter((key) -> !key.isBlank());
	}

	/** Returns who may run a request on a route. */
	static CallerRequest.Access access(Configuration configuration, Specification.Route route, Optional<String> key)
			throws ServiceException {
		if (key.isEmpty() && route.open()) {
			return new CallerRequest.Access("", null, 1);
		}
		CallerRequest.Access access = require(configuration, key);
		if (!route.open() && !route.customers().isEmpty() && !route.customers().contains(access.customer())) {
			throw ServiceException.of(ResultCode.ROUTE_FORBIDDEN, "customer " + access.customer());
		}
		return access;
	}

	/** Returns the customer of a key. */
	static CallerRequest.Access require(Configuration configuration, Optional<String> key) throws ServiceException {
		if (key.isEmpty()) {
			throw ServiceException.of(ResultCode.KEY_MISSING, "send it as a bearer token");
		}
		Sha256Digest digest = Sha256Digest.of(key.get());
		String customer = configuration.customerOf(digest)
			.orElseThrow(() -> ServiceException.of(ResultCode.KEY_UNKNOWN, "digest " + digest.abbreviated()));
		return new CallerRequest.Access(customer, digest, configuration.weightOf(customer));
	}

	/** Refuses a request that would show its key to a target. */
	static void requireKeyOutside(Optional<String> key, String path, byte[] body) throws ServiceException {
		if (key.isPresent()
				&& (path.contains(key.get()) || new String(body, StandardCharsets.UTF_8).contains(key.get()))) {
			throw ServiceException.of(ResultCode.KEY_IN_REQUEST, "send it in a header only");
		}
	}

}
