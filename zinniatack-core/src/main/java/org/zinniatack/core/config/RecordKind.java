package org.zinniatack.core.config;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The kinds of configuration records.
 */
public enum RecordKind {

	/** A customer. */
	CUSTOMER,

	/** A key of a customer. */
	KEY,

	/** A route to a pool of targets. */
	ROUTE,

	/** A policy, which holds the limits of a customer or of a pool. */
	POLICY;

	/**
	 * Finds a kind by its lower-case name, which paths and commands use.
	 * @param name the name in lower case
	 * @return the kind, or empty if no kind has the name
	 */
	public static Optional<RecordKind> ofName(String name) {
		return Stream.of(values()).filter((kind) -> kind.lowerCaseName().equals(name)).findFirst();
	}

	/**
	 * Returns the name of the kind as paths and commands use it.
	 * @return the name in lower case
	 */
	public String lowerCaseName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
