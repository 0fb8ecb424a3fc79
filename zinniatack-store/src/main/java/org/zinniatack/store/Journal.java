package org.zinniatack.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/**
 * The append-only write-ahead log of a replica.
 */
interface Journal extends AutoCloseable {

	/** Appends bytes without syncing them. */
	void append(ByteBuffer bytes) throws IOException;

	@Override
	void close() throws IOException;

	/** Forces all appended bytes to the disk. */
	void sync() throws IOException;

	/** Truncates the journal to a length in bytes and syncs it. */
	void truncate(long length) throws IOException;

	/** Opens journals. Tests substitute journals that fail. */
	interface Factory {

		Journal open(Path file) throws IOException;

	}

}
