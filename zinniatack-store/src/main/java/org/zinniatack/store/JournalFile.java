package org.zinniatack.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A {@link Journal} in a single file.
 */
final class JournalFile implements Journal {

	private final FileChannel channel;

	private JournalFile(FileChannel channel) {
		this.channel = channel;
	}

	static Journal open(Path file) throws IOException {
		return new JournalFile(
				FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
	}

	@Override
	public void append(ByteBuffer bytes) throws IOException {
		while (bytes.hasRemaining()) {
			this.channel.write(bytes);
		}
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

	@Override
	public void sync() throws IOException {
		this.channel.force(false);
	}

	@Override
	public void truncate(long length) throws IOException {
		this.channel.truncate(length);
		this.channel.force(true);
	}

}
