package org.zinniatack.entry;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Hashing;

/**
 * The body of a request for generated text, in the shapes of completions and chat
 * completions.
 *
 * @param document the body
 * @param path the engine's path for the shape
 */
record GenerationRequest(ObjectNode document, String path) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int PREFIX_LENGTH = 256;

	static GenerationRequest parse(byte[] body, boolean chat) throws ServiceException {
		JsonNode document = readTree(body);
		if (!(document instanceof ObjectNode object)) {
			throw ServiceException.of(ResultCode.MALFORMED_BODY, "the body must be a JSON object");
		}
		requireText(object, "model");
		if (chat) {
			if (!object.path("messages").isArray() || object.path("messages").isEmpty()) {
				throw invalid("messages must be a list that is not empty");
			}
		}
		else {
			requireText(object, "prompt");
		}
		if (object.path("n").asInt(1) != 1) {
			throw invalid("n must be 1; send several requests, or a step for groups of samples");
		}
		if (object.has("max_tokens") && object.path("max_tokens").asLong(-1) < 1) {
			throw invalid("max_tokens must be a whole number of at least 1");
		}
		if (object.has("stream") && !object.path("stream").isBoolean()) {
			throw invalid("stream must be true or false");
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
			throw invalid(field + " must be a text that is not blank");
		}
	}

	private static ServiceException invalid(String detail) {
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

	/** Returns the call of an engine, which streams in every case. */
	CallerRequest.Call engineCall(String customer, Specification.Route route, boolean bulk) {
		Sha256Digest digest = Sha256Digest.of(customer + '\0' + model() + '\0' + this.document);
		return new CallerRequest.Call(model(), route, "POST", this.path, Map.of("Content-Type", "application/json"),
				(progress) -> engineBody(progress, bulk), digest, prefixHash(customer), true);
	}

	private byte[] engineBody(AnswerProgress progress, boolean bulk) {
		ObjectNode sent = this.document.deepCopy();
		sent.put("stream", true);
		sent.put("priority", bulk ? 1 : 0);
		if (progress.tokenCount() > 0) {
			sent.putObject("resume").put("text", progress.text()).put("token_count", progress.tokenCount());
		}
		return toJson(sent);
	}

	private long prefixHash(String customer) {
		String prompt = isChat() ? this.document.path("messages").toString() : this.document.path("prompt").asText();
		String prefix = prompt.substring(0, Math.min(PREFIX_LENGTH, prompt.length()));
		return Hashing.combine(Hashing.of(customer), Hashing.of(prefix));
	}

	static byte[] toJson(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a value cannot be written as JSON", ex);
		}
	}

	/** Returns the whole answer in the shape that was asked for. */
	byte[] completionBody(String id, Answer answer) {
		ObjectNode whole = MAPPER.createObjectNode();
		whole.put("id", id);
		whole.put("object", isChat() ? "chat.completion" : "text_completion");
		whole.put("model", model());
		ObjectNode choice = whole.putArray("choices").addObject();
		choice.put("index", 0);
		if (isChat()) {
			choice.putObject("message").put("role", "assistant").put("content", answer.text());
		}
		else {
			choice.put("text", answer.text());
		}
		choice.put("finish_reason", answer.finishReason());
		whole.putObject("usage").put("completion_tokens", answer.tokenCount());
		whole.set("weight_versions", MAPPER.valueToTree(answer.spans()));
		return toJson(whole);
	}

}
