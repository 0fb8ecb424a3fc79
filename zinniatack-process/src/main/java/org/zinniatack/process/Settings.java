package org.zinniatack.process;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Reads and validates settings files: JSON with comments and trailing commas. It reads
 * tokens itself, since data binding would delay each start.
 */
public final class Settings {

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private Settings() {
	}

	/**
	 * Reads a settings file.
	 * @param <T> the type of the settings
	 * @param file the file
	 * @param type the type of the settings, a record that validates its components, which
	 * are numbers, booleans, strings, and lists and maps of strings
	 * @return the settings
	 * @throws ServiceException with SETTINGS_INVALID; the message names the file, the
	 * line, the field and the rule that it breaks
	 */
	public static <T> T read(Path file, Class<T> type) throws ServiceException {
		try (JsonParser parser = FACTORY.createParser(file.toFile())) {
			Map<String, Object> values = readFields(parser, type);
			JsonLocation end = parser.currentLocation();
			for (RecordComponent component : type.getRecordComponents()) {
				if (!values.containsKey(component.getName())) {
					DefaultValue defaultValue = component.getAnnotation(DefaultValue.class);
					if (defaultValue == null) {
						throw invalid(file, end, component.getName() + " is missing");
					}
					values.put(component.getName(), parse(defaultValue.value(), component));
				}
			}
			return create(file, end, type, values);
		}
		catch (JsonProcessingException ex) {
			throw invalid(file, ex.getLocation(), ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID,
					file + ": the file cannot be read: " + ex.getMessage());
		}
	}

	private static Object parse(String value, RecordComponent component) throws IOException {
		try (JsonParser parser = FACTORY.createParser(value)) {
			parser.nextToken();
			return readValue(parser, component.getName(), component.getType());
		}
	}

	private static Map<String, Object> readFields(JsonParser parser, Class<?> type) throws IOException {
		Map<String, RecordComponent> components = new LinkedHashMap<>();
		Arrays.stream(type.getRecordComponents())
			.forEach((component) -> components.put(component.getName(), component));
		Map<String, Object> values = new HashMap<>();
		require(parser, parser.nextToken() == JsonToken.START_OBJECT, "the settings must be an object");
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			RecordComponent component = components.get(name);
			Set<String> known = new TreeSet<>(components.keySet());
			require(parser, component != null, "unknown field " + name + "; known fields are " + known);
			parser.nextToken();
			values.put(name, readValue(parser, name, component.getType()));
		}
		require(parser, parser.currentToken() == JsonToken.END_OBJECT, "the settings end too soon");
		return values;
	}

	private static Object readValue(JsonParser parser, String name, Class<?> type) throws IOException {
		JsonToken token = parser.currentToken();
		if (type == long.class || type == int.class) {
			require(parser, token == JsonToken.VALUE_NUMBER_INT, name + " must be an integer");
			return (type == int.class) ? (Object) parser.getIntValue() : (Object) parser.getLongValue();
		}
		if (type == double.class) {
			require(parser, token.isNumeric(), name + " must be a number");
			return parser.getDoubleValue();
		}
		if (type == boolean.class) {
			require(parser, token.isBoolean(), name + " must be true or false");
			return parser.getBooleanValue();
		}
		if (type == List.class) {
			return readList(parser, name + " must be an array of strings");
		}
		if (type == Map.class) {
			return readMap(parser, name + " must be an object of strings");
		}
		if (type == String.class) {
			return readString(parser, name + " must be a string");
		}
		throw new IllegalArgumentException("settings have no field type " + type);
	}

	private static String readString(JsonParser parser, String rule) throws IOException {
		require(parser, parser.currentToken() == JsonToken.VALUE_STRING, rule);
		return parser.getText();
	}

	private static List<String> readList(JsonParser parser, String rule) throws IOException {
		require(parser, parser.currentToken() == JsonToken.START_ARRAY, rule);
		List<String> values = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			values.add(readString(parser, rule));
		}
		return values;
	}

	private static Map<String, String> readMap(JsonParser parser, String rule) throws IOException {
		require(parser, parser.currentToken() == JsonToken.START_OBJECT, rule);
		Map<String, String> values = new LinkedHashMap<>();
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String key = parser.currentName();
			parser.nextToken();
			values.put(key, readString(parser, rule));
		}
		return values;
	}

	private static void require(JsonParser parser, boolean condition, String detail) throws JsonParseException {
		if (!condition) {
			throw new JsonParseException(parser, detail, parser.currentLocation());
		}
	}

	private static <T> T create(Path file, JsonLocation end, Class<T> type, Map<String, Object> values)
			throws ServiceException {
		RecordComponent[] components = type.getRecordComponents();
		try {
			Constructor<T> constructor = type
				.getDeclaredConstructor(Arrays.stream(components).map(RecordComponent::getType).toArray(Class[]::new));
			constructor.setAccessible(true);
			return constructor
				.newInstance(Arrays.stream(components).map((component) -> values.get(component.getName())).toArray());
		}
		catch (InvocationTargetException ex) {
			throw invalid(file, end, String.valueOf(ex.getCause().getMessage()));
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalArgumentException(type + " is not a record of settings", ex);
		}
	}

	private static ServiceException invalid(Path file, @Nullable JsonLocation location, String detail) {
		String line = (location != null) ? ":" + location.getLineNr() : "";
		return ServiceException.of(ResultCode.SETTINGS_INVALID, file + line + ": " + detail);
	}

}
