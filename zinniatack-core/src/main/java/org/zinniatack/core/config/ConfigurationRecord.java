package org.zinniatack.core.config;

import java.util.Objects;

/**
 * A configuration record as its operator wrote it.
 *
 * @param kind the kind
 * @param name the name, unique within the kind
 * @param schemaVersion the schema version that the document follows
 * @param revision the log index of the change that wrote the record
 * @param withdrawn true if the record is out of force
 * @param document the JSON document, kept as it was written
 */
public record ConfigurationRecord(RecordKind kind, String name, int schemaVersion, long revision, boolean withdrawn,
		String document) {

	/**
	 * Checks the arguments.
	 */
	public ConfigurationRecord {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(document, "document");
	}

}
