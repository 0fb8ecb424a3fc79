package org.zinniatack.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Holds the configuration records and changes each by compare-and-set on its revision.
 * Revisions are log indexes, so they only increase.
 */
public final class RecordTable {

	/** The expected revision of a record that must not exist. */
	public static final long ABSENT_REVISION = 0;

	private final Map<String, ConfigurationRecord> records = new TreeMap<>();

	private final TreeMap<Long, ConfigurationRecord> byRevision = new TreeMap<>();

	private final Map<String, String> keyNamesByDigest = new HashMap<>();

	private long revision;

	/**
	 * Restores a table from stored records.
	 * @param revision the log index of the last change
	 * @param records the stored records
	 * @return the table
	 * @throws ServiceException if a record cannot be read under its schema version
	 */
	public static RecordTable of(long revision, Collection<ConfigurationRecord> records) throws ServiceException {
		RecordTable table = new RecordTable();
		for (ConfigurationRecord record : records) {
			table.store(record, Schema.of(record.schemaVersion()).read(record.kind(), record.document()));
		}
		table.revision = revision;
		return table;
	}

	/**
	 * Finds a record, withdrawn or not.
	 * @param kind the kind of the record
	 * @param name the name of the record
	 * @return the record, or empty if it never existed
	 */
	public Optional<ConfigurationRecord> find(RecordKind kind, String name) {
		return Optional.ofNullable(this.records.get(keyOf(kind, name)));
	}

	/**
	 * Creates or replaces a record.
	 * @param record the new record, whose revision is the log index of the change
	 * @param expectedRevision the revision that the record must have, 0 if it must not
	 * exist
	 * @throws ServiceException if the document is invalid, refers to an unknown record,
	 * or the revision differs
	 */
	public void put(ConfigurationRecord record, long expectedRevision) throws ServiceException {
		Specification specification = Schema.of(record.schemaVersion()).read(record.kind(), record.document());
		requireReference(specification);
		requireUnusedDigest(record, specification);
		requireRevision(record.kind(), record.name(), expectedRevision);
		store(record, specification);
	}

	/**
	 * Returns all records, including withdrawn ones.
	 * @return the records, ordered by kind and name
	 */
	public List<ConfigurationRecord> records() {
		return List.copyOf(this.records.values());
	}

	/**
	 * Returns the records changed after a revision.
	 * @param afterRevision the last revision already known to the caller
	 * @return the changed records, oldest change first
	 */
	public List<ConfigurationRecord> recordsAfter(long afterRevision) {
		return List.copyOf(this.byRevision.tailMap(afterRevision, false).values());
	}

	/**
	 * Returns the log index of the last change.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Withdraws a record but keeps its document.
	 * @param kind the kind of the record
	 * @param name the name of the record
	 * @param expectedRevision the revision that the record must have
	 * @param atRevision the log index of the change
	 * @throws ServiceException if the record does not exist, is already withdrawn, or the
	 * revision differs
	 */
	public void withdraw(RecordKind kind, String name, long expectedRevision, long atRevision) throws ServiceException {
		ConfigurationRecord found = find(kind, name).filter((record) -> !record.withdrawn())
			.orElseThrow(() -> ServiceException.of(ResultCode.RECORD_UNKNOWN, kind.lowerCaseName() + " " + name));
		requireRevision(kind, name, expectedRevision);
		Specification specification = Schema.of(found.schemaVersion()).read(kind, found.document());
		store(new ConfigurationRecord(kind, name, found.schemaVersion(), atRevision, true, found.document()),
				specification);
	}

	private void store(ConfigurationRecord record, Specification specification) {
		ConfigurationRecord previous = this.records.put(keyOf(record.kind(), record.name()), record);
		if (previous != null) {
			this.byRevision.remove(previous.revision());
		}
		this.byRevision.put(record.revision(), record);
		if (specification instanceof Specification.Key key) {
			this.keyNamesByDigest.put(key.digest().hex(), record.name());
		}
		this.revision = record.revision();
	}

	private void requireRevision(RecordKind kind, String name, long expectedRevision) throws ServiceException {
		long actual = find(kind, name).map(ConfigurationRecord::revision).orElse(ABSENT_REVISION);
		if (actual != expectedRevision) {
			throw ServiceException.of(ResultCode.REVISION_CONFLICT,
					"expected revision " + expectedRevision + ", found " + actual);
		}
	}

	private void requireReference(Specification specification) throws ServiceException {
		String customer = "";
		if (specification instanceof Specification.Key key) {
			customer = key.customer();
		}
		else if (specification instanceof Specification.CustomerPolicy policy) {
			customer = policy.customer();
		}
		if (!customer.isEmpty() && find(RecordKind.CUSTOMER, customer).filter((r) -> !r.withdrawn()).isEmpty()) {
			throw ServiceException.of(ResultCode.REFERENCE_UNKNOWN, "customer " + customer + " does not exist");
		}
	}

	private void requireUnusedDigest(ConfigurationRecord record, Specification specification) throws ServiceException {
		if (specification instanceof Specification.Key key) {
			String owner = this.keyNamesByDigest.getOrDefault(key.digest().hex(), record.name());
			if (!owner.equals(record.name())) {
				throw ServiceException.of(ResultCode.RECORD_INVALID, "the digest belongs to key " + owner);
			}
		}
	}

	private static String keyOf(RecordKind kind, String name) {
		return kind.lowerCaseName() + "/" + name;
	}

}
