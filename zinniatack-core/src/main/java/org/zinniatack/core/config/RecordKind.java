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

	/** Limits of a customer or of a pool. */
	POLICY;

	/**
	 * Finds a kind by the name that operators write.
	 * @param name the name in lower case
	 * @return the kind, or empty if there is none
	 */
	public static Optional<RecordKind> ofName(String name) {
		return Stream.of(values()).filter((kind) -> kind.lowerCaseName().equals(name)).findFirst();
	}

	/**
	 * Returns the name that operators write.
	 * @return the name in lower case
	 */
	public String lowerCaseName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
