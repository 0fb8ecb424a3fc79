package org.zinniatack.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.Put;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;

/**
 * HTTP interface of the stand-in engine. Each streamed event carries the weight version
 * that generated its token.
 */
@Controller
@Requires(beans = StandInEngine.class)
@Consumes("*/*")
final class EngineController {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int DEFAULT_TOKEN_COUNT = 16;

	private final StandInEngine engine;

	EngineController(StandInEngine engine) {
		this.engine = engine;
	}

	@Post("/v1/completions")
	@Produces("text/event-stream")
	Publisher<byte[]> streamCompletion(@Body byte[] body) throws IOException {
		return generate(MAPPER.readTree(body), false);
	}

	@Post("/v1/chat/completions")
	@Produces("text/event-stream")
	Publisher<byte[]> chat(@Body byte[] body) throws IOException {
		return generate(MAPPER.readTree(body), true);
	}

	private Publisher<byte[]> generate(JsonNode request, boolean chat) {
		String prompt = chat ? request.path("messages").toString() : request.path("prompt").asText();
		String crashPrompt = this.engine.options().crashPrompt();
		if (!crashPrompt.isEmpty() && prompt.contains(crashPrompt)) {
			this.engine.crash();
			return Flux.never();
		}
		int tokenCount = request.path("max_tokens").asInt(DEFAULT_TOKEN_COUNT);
		int firstPosition = request.path("resume").path("token_count").asInt(0);
		long seed = request.path("seed").asLong(0);
		Flux<byte[]> events = Flux.range(firstPosition, Math.max(0, tokenCount - firstPosition))
			.map((position) -> event(StandInEngine.tokenAt(prompt, seed, position), position + 1 == tokenCount, chat));
		if (this.engine.options().tokenIntervalMs() > 0) {
			events = events.delayElements(Duration.ofMillis(this.engine.options().tokenIntervalMs()));
		}
		return events.concatWithValues("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8))
			.doOnSubscribe((subscription) -> this.engine.runningCount().incrementAndGet())
			.doFinally((signal) -> this.engine.runningCount().decrementAndGet());
	}

	private byte[] event(String token, boolean lastToken, boolean chat) {
		ObjectNode event = MAPPER.createObjectNode();
		event.put("object", chat ? "chat.completion.chunk" : "text_completion");
		ObjectNode choice = event.putArray("choices").addObject();
		choice.put("index", 0);
		if (chat) {
			choice.putObject("delta").put("content", token);
		}
		else {
			choice.put("text", token);
		}
		choice.put("finish_reason", lastToken ? "length" : null);
		event.put("weight_version", this.engine.weightVersion());
		event.put("token_count", 1);
		return ("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	@Get("/admin/state")
	Map<String, Object> state() {
		return Map.of("weight_version", this.engine.weightVersion(), "running", this.engine.runningCount().get());
	}

	@Put("/admin/weights")
	@ExecuteOn(TaskExecutors.BLOCKING)
	HttpResponse<Map<String, Object>> loadWeights(@Body byte[] body) throws IOException, InterruptedException {
		JsonNode order = MAPPER.readTree(body);
		boolean loaded = this.engine.loadWeights(order.path("version").asLong(), order.path("fencing_number").asLong());
		return loaded ? HttpResponse.ok(state())
				: HttpResponse.<Map<String, Object>>status(HttpStatus.CONFLICT).body(state());
	}

}
