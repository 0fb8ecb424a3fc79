package org.zinniatack.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.core.state.RequestIdentity;

/**
 * The body of a text generation request in the format of completions or chat completions.
 *
 * @param document the parsed body
 * @param path the path on the engine for the format
 */
record GenerationRequest(ObjectNode document, String path) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAXIMUM_PREFIX_LENGTH = 256;

	static GenerationRequest parse(byte[] body, boolean chat) throws ServiceException {
		JsonNode document = readTree(body);
		if (!(document instanceof ObjectNode object)) {
			throw ServiceException.of(ResultCode.MALFORMED_BODY, "the body must be a JSON object");
		}
		requireText(object, "model");
		if (chat) {
			if (!object.path("messages").isArray() || object.path("messages").isEmpty()) {
				throw invalidField("messages must be a list that is not empty");
			}
		}
		else {
			requireText(object, "prompt");
		}
		if (object.path("n").asInt(1) != 1) {
			throw invalidField("n must be 1; send several requests, or a step for groups of samples");
		}
		if (object.has("max_tokens") && object.path("max_tokens").asLong(-1) < 1) {
			throw invalidField("max_tokens must be a whole number of at least 1");
		}
		if (object.has("stream") && !object.path("stream").isBoolean()) {
			throw invalidField("stream must be true or false");
		}
		return new GenerationRequest(object, chat ? "/v1/chat/completions" : "/v1/completions");
	}

	static JsonNode readTree(byte[] body) throws ServiceException {
		try {
			return MAPPER.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw ServiceException.of(ResultCode.MALFORMED_BODY,
					"line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr());
		}
		catch (IOException ex) {
			throw ServiceException.of(ResultCode.MALFORMED_BODY, "the body cannot be read");
		}
	}

	private static void requireText(ObjectNode object, String field) throws ServiceException {
		if (!object.path(field).isTextual() || object.path(field).asText().isBlank()) {
			throw invalidField(field + " must be a text that is not blank");
		}
	}

	private static ServiceException invalidField(String detail) {
		return ServiceException.of(ResultCode.FIELD_INVALID, detail);
	}

	String model() {
		return this.document.path("model").asText();
	}

	boolean isStream() {
		return this.document.path("stream").asBoolean(false);
	}

	boolean isChat() {
		return this.path.contains("chat");
	}

	long maximumTokens() {
		return this.document.path("max_tokens").asLong(0);
	}

	/** Returns the call to the engine, which always streams its answer. */
	CallerRequest.Call engineCall(String customer, Specification.Route route, boolean bulk) {
		RequestIdentity identity = RequestIdentity.of("POST", "", this.path,
				this.document.toString().getBytes(StandardCharsets.UTF_8), null);
		return new CallerRequest.Call(model(), route, "POST", this.path, Map.of("Content-Type", "application/json"),
				(progress) -> engineBody(progress, bulk), identity, prefixHash(customer), true);
	}

	private byte[] engineBody(AnswerProgress progress, boolean bulk) {
		ObjectNode engineRequest = this.document.deepCopy();
		engineRequest.put("stream", true);
		engineRequest.put("priority", bulk ? 1 : 0);
		if (progress.tokenCount() > 0) {
			engineRequest.putObject("resume").put("text", progress.text()).put("token_count", progress.tokenCount());
		}
		return toJson(engineRequest);
	}

	private long prefixHash(String customer) {
		String prompt = isChat() ? this.document.path("messages").toString() : this.document.path("prompt").asText();
		String prefix = prompt.substring(0, Math.min(MAXIMUM_PREFIX_LENGTH, prompt.length()));
		return Hashing.combine(Hashing.of(customer), Hashing.of(prefix));
	}

	static byte[] toJson(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the value cannot be serialized as JSON", ex);
		}
	}

	/** Returns the complete answer in the format of the request. */
	byte[] completionBody(String id, Answer answer) {
		ObjectNode completion = MAPPER.createObjectNode();
		completion.put("id", id);
		completion.put("object", isChat() ? "chat.completion" : "text_completion");
		completion.put("model", model());
		ObjectNode choice = completion.putArray("choices").addObject();
		choice.put("index", 0);
		if (isChat()) {
			choice.putObject("message").put("role", "assistant").put("content", answer.text());
		}
		else {
			choice.put("text", answer.text());
		}
		choice.put("finish_reason", answer.finishReason());
		completion.putObject("usage").put("completion_tokens", answer.tokenCount());
		completion.set("weight_versions", MAPPER.valueToTree(answer.spans()));
		return toJson(completion);
	}

}
