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
 * Authenticates callers by their API key and checks which routes they may use.
 */
final class CallerAuthenticator {

	private static final String BEARER_PREFIX = "Bearer ";

	private static final String API_KEY_HEADER = "X-Api-Key";

	private CallerAuthenticator() {
	}

	/** Returns the API key of a request, or empty if it has none. */
	static Optional<String> keyOf(HttpRequest<?> request) {
		HttpHeaders headers = request.getHeaders();
		return Optional.ofNullable(headers.get(HttpHeaders.AUTHORIZATION))
			.filter((value) -> value.startsWith(BEARER_PREFIX))
			.map((value) -> value.substring(BEARER_PREFIX.length()))
			.or(() -> Optional.ofNullable(headers.get(API_KEY_HEADER)))
			.filter((key) -> !key.isBlank());
	}

	/** Returns the caller if it may use a route, else fails. */
	static CallerRequest.Principal authorize(Configuration configuration, Specification.Route route,
			Optional<String> key) throws ServiceException {
		if (key.isEmpty() && route.open()) {
			return new CallerRequest.Principal("", null, 1);
		}
		CallerRequest.Principal principal = authenticate(configuration, key);
		if (!route.open() && !route.customers().isEmpty() && !route.customers().contains(principal.customer())) {
			throw ServiceException.of(ResultCode.ROUTE_FORBIDDEN,
					"customer " + principal.customer() + " may not use the route");
		}
		return principal;
	}

	/** Returns the caller that a key belongs to. */
	static CallerRequest.Principal authenticate(Configuration configuration, Optional<String> key)
			throws ServiceException {
		if (key.isEmpty()) {
			throw ServiceException.of(ResultCode.KEY_MISSING, "send it as a bearer token or in " + API_KEY_HEADER);
		}
		Sha256Digest digest = Sha256Digest.of(key.get());
		String customer = configuration.customerOf(digest)
			.orElseThrow(() -> ServiceException.of(ResultCode.KEY_UNKNOWN,
					"no customer has a key with digest " + digest.abbreviated()));
		return new CallerRequest.Principal(customer, digest, configuration.weightOf(customer));
	}

	/** Rejects a request that would disclose its API key to a target. */
	static void rejectKeyInRequest(Optional<String> key, String path, byte[] body) throws ServiceException {
		if (key.isPresent()
				&& (path.contains(key.get()) || new String(body, StandardCharsets.UTF_8).contains(key.get()))) {
			throw ServiceException.of(ResultCode.KEY_IN_REQUEST, "send the key only in a header");
		}
	}

}
