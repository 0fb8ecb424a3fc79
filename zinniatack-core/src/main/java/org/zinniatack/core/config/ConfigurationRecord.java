package org.zinniatack.core.config;

import java.util.Objects;

/**
 * A configuration record as its operator wrote it.
 *
 * @param kind the kind of the record
 * @param name the name of the record, unique within its kind
 * @param schemaVersion the schema version of the document
 * @param revision the log index of the last change to the record
 * @param withdrawn true if the record is withdrawn
 * @param document the JSON document, unchanged
 */
public record ConfigurationRecord(RecordKind kind, String name, int schemaVersion, long revision, boolean withdrawn,
		String document) {

	/**
	 * Checks that no argument is null.
	 */
	public ConfigurationRecord {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(document, "document");
	}

}
