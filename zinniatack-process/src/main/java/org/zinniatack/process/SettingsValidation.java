package org.zinniatack.process;

import java.util.List;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.key.Sha256Digest;

/**
 * Validates settings fields. Error messages name the field and the rule that it breaks.
 */
public final class SettingsValidation {

	private static final Pattern ADDRESS = Pattern.compile("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}");

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private static final int MINIMUM_SECRET_LENGTH = 16;

	private static final int MAXIMUM_PORT = 65_535;

	private static final double SECONDS_PER_DAY = 86_400;

	private SettingsValidation() {
	}

	/**
	 * Checks that a value is an IP address with a port.
	 * @param field the name of the field
	 * @param value the value
	 * @return the value
	 */
	public static String address(String field, @Nullable String value) {
		if (value == null || !ADDRESS.matcher(value).matches()) {
			throw new IllegalArgumentException(field + " must be an IP address and a port, such as 127.0.0.1:7400");
		}
		return value;
	}

	/**
	 * Checks that a value is a name of at most 63 lower-case letters, digits and hyphens
	 * that does not begin with a hyphen.
	 * @param field the name of the field
	 * @param value the value
	 * @return the value
	 */
	public static String name(String field, @Nullable String value) {
		if (value == null || !NAME.matcher(value).matches()) {
			throw new IllegalArgumentException(field
					+ " must be lower-case letters, digits and hyphens, at most 63, and must not begin with a hyphen");
		}
		return value;
	}

	/**
	 * Checks that a value is not null.
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
	 * Checks that all values are SHA-256 digests.
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
	 * Checks the length of a cluster secret.
	 * @param field the name of the field
	 * @param value the value
	 * @return the value
	 */
	public static String secret(String field, @Nullable String value) {
		if (value == null || value.length() < MINIMUM_SECRET_LENGTH) {
			throw new IllegalArgumentException(field + " must have at least " + MINIMUM_SECRET_LENGTH + " characters");
		}
		return value;
	}

	/**
	 * Checks that a number is within a range.
	 * @param field the name of the field
	 * @param value the value
	 * @param minimum the smallest valid value
	 * @param maximum the largest valid value
	 * @return the value
	 */
	public static long range(String field, long value, long minimum, long maximum) {
		if (value < minimum || value > maximum) {
			throw new IllegalArgumentException(field + " must be from " + minimum + " to " + maximum);
		}
		return value;
	}

	/**
	 * Requires a number within a range.
	 * @param field the name of the field
	 * @param value the number
	 * @param minimum the lowest valid number
	 * @param maximum the highest valid number
	 * @return the number
	 * @throws IllegalArgumentException if it is not in the range
	 */
	public static double figure(String field, double value, double minimum, double maximum) {
		if (!(value >= minimum && value <= maximum)) {
			throw new IllegalArgumentException(field + " must be from " + minimum + " to " + maximum + ", is " + value);
		}
		return value;
	}

	/**
	 * Checks that a number is a valid port.
	 * @param field the name of the field
	 * @param value the port
	 * @return the port
	 */
	public static int port(String field, int value) {
		return (int) range(field, value, 1, MAXIMUM_PORT);
	}

	/**
	 * Checks that a time is positive and at most a day.
	 * @param field the name of the field
	 * @param value the time, in seconds
	 * @return the time, in seconds
	 */
	public static double seconds(String field, double value) {
		if (!(value > 0 && value <= SECONDS_PER_DAY)) {
			throw new IllegalArgumentException(field + " must be greater than 0 and at most " + SECONDS_PER_DAY);
		}
		return value;
	}

	/**
	 * Replaces the port of each address.
	 * @param addresses the addresses as host and port
	 * @param port the port
	 * @return the addresses with the new port
	 */
	public static List<String> withPort(List<String> addresses, int port) {
		return addresses.stream().map((address) -> address.substring(0, address.lastIndexOf(':') + 1) + port).toList();
	}

}
