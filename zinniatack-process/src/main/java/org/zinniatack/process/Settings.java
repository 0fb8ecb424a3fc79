package org.zinniatack.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Reads and validates settings files: JSON with comments and trailing commas.
 */
public final class Settings {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.build();

	private Settings() {
	}

	/**
	 * Reads a settings file.
	 * @param <T> the type of the settings
	 * @param file the file
	 * @param type the type of the settings, a record that validates its components
	 * @return the settings
	 * @throws ServiceException with SETTINGS_INVALID; the message names the file, the
	 * line, the field and the rule that it breaks
	 */
	public static <T> T read(Path file, Class<T> type) throws ServiceException {
		try {
			requireKnownFields(file, type);
			return MAPPER.readValue(file.toFile(), type);
		}
		catch (JsonProcessingException ex) {
			throw invalid(file, ex.getLocation(), detailOf(ex));
		}
		catch (IOException ex) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID,
					file + ": the file cannot be read: " + ex.getMessage());
		}
	}

	/**
	 * Rejects unknown fields before the settings are parsed. A misspelt field is thus
	 * reported as unknown instead of the intended field as missing.
	 */
	private static void requireKnownFields(Path file, Class<?> type) throws IOException, ServiceException {
		Set<String> known = new TreeSet<>();
		Arrays.stream(type.getRecordComponents()).forEach((component) -> known.add(component.getName()));
		try (JsonParser parser = MAPPER.getFactory().createParser(file.toFile())) {
			parser.nextToken();
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				if (!known.contains(parser.currentName())) {
					throw invalid(file, parser.currentLocation(),
							"unknown field " + parser.currentName() + "; known fields are " + known);
				}
				parser.nextToken();
				parser.skipChildren();
			}
		}
	}

	private static String detailOf(JsonProcessingException failure) {
		String path = (failure instanceof JsonMappingException mapping) ? pathOf(mapping) : "";
		Throwable cause = failure.getCause();
		if (cause instanceof IllegalArgumentException) {
			return cause.getMessage();
		}
		if (failure.getOriginalMessage().startsWith("Missing required creator property")) {
			return path + " is missing";
		}
		return path.isEmpty() ? failure.getOriginalMessage() : path + ": " + failure.getOriginalMessage();
	}

	private static String pathOf(JsonMappingException failure) {
		StringBuilder path = new StringBuilder();
		for (JsonMappingException.Reference reference : failure.getPath()) {
			if (reference.getFieldName() != null) {
				path.append((path.length() > 0) ? "." : "").append(reference.getFieldName());
			}
		}
		return path.toString();
	}

	private static ServiceException invalid(Path file, @Nullable JsonLocation location, String detail) {
		String line = (location != null) ? ":" + location.getLineNr() : "";
		return ServiceException.of(ResultCode.SETTINGS_INVALID, file + line + ": " + detail);
	}

}
