package org.zinniatack.core.config;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * A schema version of configuration records. Records of different versions coexist; none
 * is rewritten to another version.
 */
public interface Schema {

	/** The newest schema version. */
	int NEWEST_VERSION = 2;

	/**
	 * Returns the schema of a version.
	 * @param version the version
	 * @return the schema
	 * @throws ServiceException with SCHEMA_UNKNOWN if there is no such version
	 */
	static Schema of(int version) throws ServiceException {
		return switch (version) {
			case 1 -> new SchemaVersion1();
			case 2 -> new SchemaVersion2();
			default -> throw ServiceException.of(ResultCode.SCHEMA_UNKNOWN,
					"schema version " + version + " is unknown; known are 1 and 2");
		};
	}

	/**
	 * Parses and validates the document of a record.
	 * @param kind the kind of the record
	 * @param json the JSON document
	 * @return the parsed specification
	 * @throws ServiceException with MALFORMED_BODY if the document is not JSON, or
	 * RECORD_INVALID if a field is missing, unknown or invalid
	 */
	Specification read(RecordKind kind, String json) throws ServiceException;

}
