package org.zinniatack.entry;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * One event of the stream that an engine generates.
 *
 * @param data the JSON event as received
 * @param text the text that the event adds
 * @param finishReason why the engine stopped, empty if it continues
 * @param weightVersion the weight version that produced the text, 0 if the engine
 * reported none
 * @param tokenCount the number of tokens in the event
 */
record EngineEvent(byte[] data, String text, String finishReason, long weightVersion, int tokenCount) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	static EngineEvent parse(byte[] data) throws ServiceException {
		try {
			JsonNode event = MAPPER.readTree(data);
			JsonNode choice = event.path("choices").path(0);
			String text = choice.path("text").asText(choice.path("delta").path("content").asText(""));
			JsonNode reason = choice.path("finish_reason");
			return new EngineEvent(data, text, reason.isTextual() ? reason.asText() : "",
					event.path("weight_version").asLong(0), event.path("token_count").asInt(text.isEmpty() ? 0 : 1));
		}
		catch (IOException ex) {
			throw ServiceException.of(ResultCode.TARGET_FAILED, "the engine sent an event that is not JSON");
		}
	}

}
