package org.zinniatack.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/**
 * An append-only file.
 */
interface Journal extends AutoCloseable {

	/** Appends bytes without syncing them. */
	void append(ByteBuffer bytes) throws IOException;

	@Override
	void close() throws IOException;

	/** Returns once all appended bytes are on the disk. */
	void sync() throws IOException;

	/** Cuts the file to a length and syncs it. */
	void truncate(long length) throws IOException;

	/** Opens a journal, so that tests can put a failing one in its place. */
	interface Opener {

		Journal open(Path file) throws IOException;

	}

}
