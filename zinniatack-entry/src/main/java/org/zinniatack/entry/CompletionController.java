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
 * Completions and chat completions, whole or as a stream of server-sent events. The model
 * names the route.
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
		Optional<String> key = Caller.keyOf(http);
		Generation generation = Generation.parse(body, chat);
		Specification.Route route = engineRoute(configuration, generation.model());
		CallerRequest.Access access = Caller.access(configuration, route, key);
		Caller.requireKeyOutside(key, "", body);
		return generation.isStream() ? stream(generation, access, route) : whole(generation, access, route);
	}

	static Specification.Route engineRoute(Configuration configuration, String name) throws ServiceException {
		return configuration.route(name)
			.filter((found) -> found.protocol() == Specification.Protocol.ENGINE)
			.orElseThrow(() -> ServiceException.of(ResultCode.UNKNOWN_ROUTE, "model " + name));
	}

	private CompletableFuture<HttpResponse<?>> stream(Generation generation, CallerRequest.Access access,
			Specification.Route route) throws ServiceException {
		StreamSink sink = new StreamSink();
		CallerRequest request = Submission.of(this.entry, access, generation.call(access.customer(), route, false),
				generation.maximumTokens(), false, sink);
		sink.onCancel(() -> this.entry.dispatcher()
			.endNow(request, ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "the caller went away")));
		this.entry.dispatcher().submit(request, true);
		return sink.response();
	}

	private CompletableFuture<HttpResponse<?>> whole(Generation generation, CallerRequest.Access access,
			Specification.Route route) throws ServiceException {
		String[] id = new String[1];
		WholeSink sink = new WholeSink((answer) -> HttpResponse.ok(generation.wholeAnswer(id[0], answer))
			.contentType(MediaType.APPLICATION_JSON_TYPE));
		CallerRequest request = Submission.of(this.entry, access, generation.call(access.customer(), route, false),
				generation.maximumTokens(), false, sink);
		id[0] = request.id();
		this.entry.dispatcher().submit(request, true);
		return sink.response();
	}

}
