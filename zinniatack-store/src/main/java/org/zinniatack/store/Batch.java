package org.zinniatack.store;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;

/**
 * The changes that one journal sync makes durable. A batch is stored as a single record,
 * so that after a crash either all of it is there or none.
 *
 * @param hardState the hard state, or null if unchanged
 * @param baseIndex the index before the first entry of the journal, -1 in all batches but
 * the journal's first
 * @param baseTerm the term of the entry at the base index
 * @param truncateFrom the index from which earlier entries are discarded, 0 for none
 * @param entries the entries to append
 */
record Batch(@Nullable HardState hardState, long baseIndex, long baseTerm, long truncateFrom, List<LogEntry> entries) {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	/** Reads a batch and closes the stream. */
	static Batch decode(InputStream payload) throws IOException {
		return MAPPER.readValue(payload, Batch.class);
	}

	byte[] encode() throws IOException {
		return MAPPER.writeValueAsBytes(this);
	}

	/** Writes the batch and closes the stream. */
	void encodeTo(OutputStream payload) throws IOException {
		MAPPER.writeValue(payload, this);
	}

}
