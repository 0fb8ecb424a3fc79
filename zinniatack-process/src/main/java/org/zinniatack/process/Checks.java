package org.zinniatack.process;

import java.util.List;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.key.Sha256Digest;

/**
 * Checks of fields, which name the field and what would be right.
 */
public final class Checks {

	private static final Pattern ADDRESS = Pattern.compile("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}");

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private static final int SHORTEST_SECRET = 16;

	private static final int HIGHEST_PORT = 65_535;

	private static final double SECONDS_A_DAY = 86_400;

	private Checks() {
	}

	/**
	 * Checks an address.
	 * @param field the name of the field
	 * @param value the value
	 * @return the value
	 */
	public static String address(String field, @Nullable String value) {
		if (value == null || !ADDRESS.matcher(value).matches()) {
			throw new IllegalArgumentException(field + " must be an IP number and a port, such as 127.0.0.1:7400");
		}
		return value;
	}

	/**
	 * Checks a name.
	 * @param field the name of the field
	 * @param value the value
	 * @return the value
	 */
	public static String name(String field, @Nullable String value) {
		if (value == null || !NAME.matcher(value).matches()) {
			throw new IllegalArgumentException(field + " must be lower-case letters, digits and hyphens");
		}
		return value;
	}

	/**
	 * Checks that a value is there.
	 * @param <T> the type of the value
	 * @param field the name of the field
	 * @param value the value
	 * @return the value
	 */
	public static <T> T present(String field, @Nullable T value) {
		if (value == null) {
			throw new IllegalArgumentException(field + " is missing");
		}
		return value;
	}

	/**
	 * Checks digests of operators' keys.
	 * @param field the name of the field
	 * @param values the values
	 * @return a copy of the values
	 */
	public static List<String> digests(String field, @Nullable List<String> values) {
		if (values == null || !values.stream().allMatch(Sha256Digest::isValid)) {
			throw new IllegalArgumentException(field + " must be SHA-256 digests in hexadecimal");
		}
		return List.copyOf(values);
	}

	/**
	 * Checks a cluster secret.
	 * @param field the name of the field
	 * @param value the value
	 * @return the value
	 */
	public static String secret(String field, @Nullable String value) {
		if (value == null || value.length() < SHORTEST_SECRET) {
			throw new IllegalArgumentException(field + " must have at least " + SHORTEST_SECRET + " characters");
		}
		return value;
	}

	/**
	 * Checks a number against a range.
	 * @param field the name of the field
	 * @param value the value
	 * @param minimum the smallest right value
	 * @param maximum the largest right value
	 * @return the value
	 */
	public static long range(String field, long value, long minimum, long maximum) {
		if (value < minimum || value > maximum) {
			throw new IllegalArgumentException(field + " must be from " + minimum + " to " + maximum);
		}
		return value;
	}

	/**
	 * Checks a port.
	 * @param field the name of the field
	 * @param value the port
	 * @return the port
	 */
	public static int port(String field, int value) {
		return (int) range(field, value, 1, HIGHEST_PORT);
	}

	/**
	 * Checks a time that must be positive and shorter than a day.
	 * @param field the name of the field
	 * @param value the time, in seconds
	 * @return the time, in seconds
	 */
	public static double seconds(String field, double value) {
		if (!(value > 0 && value <= SECONDS_A_DAY)) {
			throw new IllegalArgumentException(field + " must be above 0 and at most " + SECONDS_A_DAY);
		}
		return value;
	}

	/**
	 * Returns addresses with another port.
	 * @param addresses the addresses as host and port
	 * @param port the port
	 * @return the hosts with the port
	 */
	public static List<String> withPort(List<String> addresses, int port) {
		return addresses.stream().map((address) -> address.substring(0, address.lastIndexOf(':') + 1) + port).toList();
	}

}
