package org.zinniatack.process;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Reads settings files, which are JSON with comments.
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
	 * @param type the type of the settings, a record that checks its fields
	 * @return the settings
	 * @throws ServiceException with SETTINGS_INVALID, naming the file, the line, the
	 * field and what would be right
	 */
	public static <T> T read(Path file, Class<T> type) throws ServiceException {
		try {
			return MAPPER.readValue(file.toFile(), type);
		}
		catch (UnrecognizedPropertyException ex) {
			throw invalid(file, ex,
					"unknown field " + ex.getPropertyName() + "; known are " + ex.getKnownPropertyIds());
		}
		catch (JsonProcessingException ex) {
			throw invalid(file, ex, causeOf(ex));
		}
		catch (IOException ex) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID, file + ": cannot be read: " + ex.getMessage());
		}
	}

	private static String causeOf(JsonProcessingException failure) {
		String path = (failure instanceof JsonMappingException mapping) ? pathOf(mapping) : "";
		Throwable cause = failure.getCause();
		String text = (cause instanceof IllegalArgumentException) ? cause.getMessage() : failure.getOriginalMessage();
		return path.isEmpty() ? text : path + ": " + text;
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

	private static ServiceException invalid(Path file, JsonProcessingException failure, String detail) {
		String line = (failure.getLocation() != null) ? ":" + failure.getLocation().getLineNr() : "";
		return ServiceException.of(ResultCode.SETTINGS_INVALID, file + line + ": " + detail);
	}

}
