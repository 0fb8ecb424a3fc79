package org.zinniatack.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Reads the fields of a JSON document. Each method records the field that it reads, so
 * that {@link #requireNoUnknownFields()} can refuse the others.
 */
final class DocumentReader {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final JsonNode document;

	private final Set<String> knownFields = new TreeSet<>();

	private DocumentReader(JsonNode document) {
		this.document = document;
	}

	static DocumentReader parse(String json) throws ServiceException {
		try {
			JsonNode document = MAPPER.readTree(json);
			if (document == null || !document.isObject()) {
				throw invalid("the document must be a JSON object");
			}
			return new DocumentReader(document);
		}
		catch (JsonProcessingException ex) {
			throw ServiceException.of(ResultCode.MALFORMED_BODY, "the document is not JSON: line "
					+ ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr());
		}
	}

	static ServiceException invalid(String detail) {
		return ServiceException.of(ResultCode.RECORD_INVALID, detail);
	}

	String text(String field) throws ServiceException {
		JsonNode node = required(field);
		if (!node.isTextual() || node.asText().isBlank()) {
			throw invalid(field + " must be a text that is not blank");
		}
		return node.asText();
	}

	boolean flag(String field, boolean defaultValue) throws ServiceException {
		JsonNode node = optional(field);
		if (node == null) {
			return defaultValue;
		}
		if (!node.isBoolean()) {
			throw invalid(field + " must be true or false");
		}
		return node.asBoolean();
	}

	double number(String field, double defaultValue, double minimum) throws ServiceException {
		JsonNode node = optional(field);
		if (node == null) {
			return defaultValue;
		}
		if (!node.isNumber() || node.asDouble() < minimum) {
			throw invalid(field + " must be a number of at least " + minimum);
		}
		return node.asDouble();
	}

	long integer(String field, long defaultValue, long minimum) throws ServiceException {
		JsonNode node = optional(field);
		if (node == null) {
			return defaultValue;
		}
		if (!node.canConvertToLong() || !node.isIntegralNumber() || node.asLong() < minimum) {
			throw invalid(field + " must be a whole number of at least " + minimum);
		}
		return node.asLong();
	}

	List<String> texts(String field) throws ServiceException {
		JsonNode node = optional(field);
		if (node == null) {
			return List.of();
		}
		List<String> values = new ArrayList<>();
		for (JsonNode element : node) {
			if (!element.isTextual()) {
				throw invalid(field + " must be a list of texts");
			}
			values.add(element.asText());
		}
		if (!node.isArray()) {
			throw invalid(field + " must be a list of texts");
		}
		return values;
	}

	String choice(String field, Set<String> choices) throws ServiceException {
		String text = text(field);
		if (!choices.contains(text)) {
			throw invalid(field + " must be one of " + new TreeSet<>(choices));
		}
		return text;
	}

	boolean has(String field) {
		return this.document.hasNonNull(field);
	}

	/** Refuses a document with a field that no method has read. */
	void requireNoUnknownFields() throws ServiceException {
		Set<String> unknown = new TreeSet<>();
		this.document.fieldNames().forEachRemaining(unknown::add);
		unknown.removeAll(this.knownFields);
		if (!unknown.isEmpty()) {
			throw invalid("unknown field " + unknown.iterator().next() + "; known are " + this.knownFields);
		}
	}

	private JsonNode required(String field) throws ServiceException {
		JsonNode node = optional(field);
		if (node == null) {
			throw invalid(field + " is missing");
		}
		return node;
	}

	private @Nullable JsonNode optional(String field) {
		this.knownFields.add(field);
		return this.document.hasNonNull(field) ? this.document.get(field) : null;
	}

}
