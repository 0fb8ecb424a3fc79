package org.zinniatack.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.RequestIdentity;
import org.zinniatack.process.ErrorResponses;

/**
 * Forwards HTTP calls to plain services. The path segment after {@code /services} names
 * the route.
 */
@Controller("/services/{route}")
@Requires(beans = EntryService.class)
@Consumes("*/*")
final class ServiceController {

	private static final List<String> FORWARDED_HEADERS = List.of("Content-Type", "Accept", "Accept-Language",
			"Idempotency-Key");

	private static final Set<String> REPEATABLE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

	private static final byte[] NO_BODY = new byte[0];

	private final EntryService entry;

	ServiceController(EntryService entry) {
		this.entry = entry;
	}

	@Get("/{+path}")
	CompletableFuture<HttpResponse<?>> get(HttpRequest<?> http, String route, String path) throws ServiceException {
		return run(http, route, path, NO_BODY);
	}

	@Post("/{+path}")
	CompletableFuture<HttpResponse<?>> post(HttpRequest<?> http, String route, String path,
			@Body byte @Nullable [] body) throws ServiceException {
		return run(http, route, path, (body != null) ? body : NO_BODY);
	}

	@Put("/{+path}")
	CompletableFuture<HttpResponse<?>> put(HttpRequest<?> http, String route, String path, @Body byte @Nullable [] body)
			throws ServiceException {
		return run(http, route, path, (body != null) ? body : NO_BODY);
	}

	@Patch("/{+path}")
	CompletableFuture<HttpResponse<?>> patch(HttpRequest<?> http, String route, String path,
			@Body byte @Nullable [] body) throws ServiceException {
		return run(http, route, path, (body != null) ? body : NO_BODY);
	}

	@Delete("/{+path}")
	CompletableFuture<HttpResponse<?>> delete(HttpRequest<?> http, String route, String path) throws ServiceException {
		return run(http, route, path, NO_BODY);
	}

	private CompletableFuture<HttpResponse<?>> run(HttpRequest<?> http, String name, String path, byte[] body)
			throws ServiceException {
		Configuration configuration = this.entry.configuration();
		Optional<String> key = CallerAuthenticator.keyOf(http);
		Specification.Route route = configuration.route(name)
			.filter((found) -> found.protocol() == Specification.Protocol.SERVICE)
			.orElseThrow(() -> ServiceException.of(ResultCode.UNKNOWN_ROUTE, "no service route is named " + name));
		CallerRequest.Principal principal = CallerAuthenticator.authorize(configuration, route, key);
		String query = http.getUri().getRawQuery();
		String pathAndQuery = "/" + path + ((query != null) ? "?" + query : "");
		CallerAuthenticator.rejectKeyInRequest(key, pathAndQuery, body);
		boolean repeatable = route.repeatable() || REPEATABLE_METHODS.contains(http.getMethodName());
		CallerRequest.Call call = new CallerRequest.Call(name, route, http.getMethodName(), pathAndQuery,
				forwardedHeaders(http), RequestBody.fixed(body),
				RequestIdentity.of(http.getMethodName(), "", http.getUri().toString(), body, null), 0, repeatable);
		return repeatable ? submit(principal, call, new NonStreamingSink(ServiceController::toResponse))
				: runAtMostOnce(http, principal, call,
						intentDigest(principal, name, http.getMethodName(), pathAndQuery, body));
	}

	private CompletableFuture<HttpResponse<?>> submit(CallerRequest.Principal principal, CallerRequest.Call call,
			NonStreamingSink sink) throws ServiceException {
		this.entry.dispatcher().submit(RequestFactory.create(this.entry, principal, call, 0, false, sink), true);
		return sink.response();
	}

	private CompletableFuture<HttpResponse<?>> runAtMostOnce(HttpRequest<?> http, CallerRequest.Principal principal,
			CallerRequest.Call call, Sha256Digest intentDigest) throws ServiceException {
		String key = Optional.ofNullable(http.getHeaders().get(IDEMPOTENCY_HEADER))
			.filter((value) -> !value.isBlank())
			.orElseThrow(() -> ServiceException.of(ResultCode.IDEMPOTENCY_KEY_MISSING,
					"required by route " + call.routeName()));
		AtMostOnceRunner runner = new AtMostOnceRunner(this.entry.control(), (sink) -> this.entry.dispatcher()
			.submit(RequestFactory.create(this.entry, principal, call, 0, false, sink), true));
		return runner.run(principal.customer(), key, intentDigest.hex(), System.currentTimeMillis())
			.<HttpResponse<?>>thenApply(ServiceController::toResponse)
			.exceptionally((failure) -> errorResponse(ControlLink.unwrap(failure)));
	}

	private static HttpResponse<?> errorResponse(Throwable failure) {
		return ErrorResponses.of((failure instanceof ServiceException known) ? known
				: ServiceException.of(ResultCode.INTERNAL, String.valueOf(failure)));
	}

	private static HttpResponse<?> toResponse(Answer answer) {
		String contentType = answer.contentType();
		return HttpResponse.<byte[]>status(HttpStatus.valueOf(answer.httpStatus()))
			.header("Content-Type", contentType.isEmpty() ? "application/octet-stream" : contentType)
			.body(answer.body());
	}

	private static Map<String, String> forwardedHeaders(HttpRequest<?> http) {
		Map<String, String> headers = new HashMap<>();
		FORWARDED_HEADERS.forEach((name) -> Optional.ofNullable(http.getHeaders().get(name))
			.ifPresent((value) -> headers.put(name, value)));
		return headers;
	}

	/** Returns the digest that stored intents of this idempotency key must have. */
	private static Sha256Digest intentDigest(CallerRequest.Principal principal, String route, String method,
			String path, byte[] body) {
		return Sha256Digest
			.of(principal.customer() + '\0' + route + '\0' + method + '\0' + path + '\0' + Sha256Digest.of(body).hex());
	}

}
