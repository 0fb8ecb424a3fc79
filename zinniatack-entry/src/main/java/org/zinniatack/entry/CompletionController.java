package org.zinniatack.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Serves completions and chat completions, as one response or as a stream of server-sent
 * events. The model of a request names its route.
 */
@Controller("/v1")
@Requires(beans = EntryService.class)
@Consumes("*/*")
final class CompletionController {

	private final EntryService entry;

	CompletionController(EntryService entry) {
		this.entry = entry;
	}

	@Post("/completions")
	CompletableFuture<HttpResponse<?>> complete(HttpRequest<?> http, @Body byte[] body) throws ServiceException {
		return run(http, body, false);
	}

	@Post("/chat/completions")
	CompletableFuture<HttpResponse<?>> chat(HttpRequest<?> http, @Body byte[] body) throws ServiceException {
		return run(http, body, true);
	}

	private CompletableFuture<HttpResponse<?>> run(HttpRequest<?> http, byte[] body, boolean chat)
			throws ServiceException {
		Configuration configuration = this.entry.configuration();
		Optional<String> key = CallerAuthenticator.keyOf(http);
		GenerationRequest generation = GenerationRequest.parse(body, chat);
		Specification.Route route = engineRoute(configuration, generation.model());
		CallerRequest.Principal principal = CallerAuthenticator.authorize(configuration, route, key);
		CallerAuthenticator.rejectKeyInRequest(key, "", body);
		return generation.isStream() ? streaming(generation, principal, route)
				: nonStreaming(generation, principal, route);
	}

	static Specification.Route engineRoute(Configuration configuration, String name) throws ServiceException {
		return configuration.route(name)
			.filter((found) -> found.protocol() == Specification.Protocol.ENGINE)
			.orElseThrow(() -> ServiceException.of(ResultCode.UNKNOWN_ROUTE, "no engine route is named " + name));
	}

	private CompletableFuture<HttpResponse<?>> streaming(GenerationRequest generation,
			CallerRequest.Principal principal, Specification.Route route) throws ServiceException {
		StreamSink sink = new StreamSink();
		CallerRequest request = RequestFactory.create(this.entry, principal,
				generation.engineCall(principal.customer(), route, false), generation.maximumTokens(), false, sink);
		sink.onCancel(() -> this.entry.dispatcher()
			.abort(request, ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "the caller closed the connection")));
		this.entry.dispatcher().submit(request, true);
		return sink.response();
	}

	private CompletableFuture<HttpResponse<?>> nonStreaming(GenerationRequest generation,
			CallerRequest.Principal principal, Specification.Route route) throws ServiceException {
		String[] id = new String[1];
		NonStreamingSink sink = new NonStreamingSink(
				(answer) -> HttpResponse.ok(generation.completionBody(id[0], answer))
					.contentType(MediaType.APPLICATION_JSON_TYPE));
		CallerRequest request = RequestFactory.create(this.entry, principal,
				generation.engineCall(principal.customer(), route, false), generation.maximumTokens(), false, sink);
		id[0] = request.id();
		this.entry.dispatcher().submit(request, true);
		return sink.response();
	}

}
