package org.zinniatack.store;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;

/**
 * What one sync writes. It is one record, so that a crash leaves all of it or none.
 *
 * @param hardState the hard state, or null if unchanged
 * @param baseIndex the index before the first entry of the journal, -1 but in its first
 * record
 * @param baseTerm the term at the base index
 * @param truncateFrom the index from which earlier entries are void, 0 for none
 * @param entries the entries to append
 */
record Batch(@Nullable HardState hardState, long baseIndex, long baseTerm, long truncateFrom, List<LogEntry> entries) {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	static Batch decode(byte[] bytes) throws IOException {
		return MAPPER.readValue(bytes, Batch.class);
	}

	byte[] encode() throws IOException {
		return MAPPER.writeValueAsBytes(this);
	}

}
