package org.zinniatack.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

/**
 * An index of the specifications of one kind by the id that requests use. If several
 * records have the same id, the one whose name sorts last takes effect.
 *
 * @param <S> the type of the specifications
 */
final class SpecificationIndex<S extends Specification> {

	private final BiFunction<String, S, String> idOf;

	private final Map<String, S> byRecord;

	private final Map<String, String> recordsById;

	private SpecificationIndex(BiFunction<String, S, String> idOf, Map<String, S> byRecord,
			Map<String, String> recordsById) {
		this.idOf = idOf;
		this.byRecord = byRecord;
		this.recordsById = recordsById;
	}

	/**
	 * Returns an empty index; the function derives an id from a record's name and its
	 * specification.
	 */
	static <S extends Specification> SpecificationIndex<S> by(BiFunction<String, S, String> idOf) {
		return new SpecificationIndex<>(idOf, new HashMap<>(), new HashMap<>());
	}

	/** Returns an independent copy of this index. */
	SpecificationIndex<S> copy() {
		return new SpecificationIndex<>(this.idOf, new HashMap<>(this.byRecord), new HashMap<>(this.recordsById));
	}

	boolean contains(String id) {
		return this.recordsById.containsKey(id);
	}

	Optional<S> find(String id) {
		return Optional.ofNullable(this.recordsById.get(id)).map(this.byRecord::get);
	}

	/** Returns all specifications by id. */
	Map<String, S> all() {
		Map<String, S> all = new HashMap<>();
		this.recordsById.forEach((id, record) -> all.put(id, this.byRecord.get(record)));
		return all;
	}

	void put(String record, S specification) {
		remove(record);
		this.byRecord.put(record, specification);
		this.recordsById.merge(this.idOf.apply(record, specification), record, SpecificationIndex::last);
	}

	/**
	 * Removes a record. If another record has the same id, that one takes effect.
	 */
	void remove(String record) {
		boolean idsAreUnique = this.byRecord.size() == this.recordsById.size();
		S removed = this.byRecord.remove(record);
		if (removed != null) {
			String id = this.idOf.apply(record, removed);
			if (this.recordsById.remove(id, record) && !idsAreUnique) {
				lastRecordOf(id).ifPresent((other) -> this.recordsById.put(id, other));
			}
		}
	}

	private Optional<String> lastRecordOf(String id) {
		return this.byRecord.entrySet()
			.stream()
			.filter((entry) -> this.idOf.apply(entry.getKey(), entry.getValue()).equals(id))
			.map(Map.Entry::getKey)
			.reduce(SpecificationIndex::last);
	}

	private static String last(String first, String second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

}
