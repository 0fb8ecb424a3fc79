package org.zinniatack.store;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Writes records to a file without holding a payload as a whole. A payload is encoded
 * twice, first for its length and checksum.
 */
final class RecordWriter {

	private static final int BUFFER_BYTES = 64 * 1024;

	/**
	 * The file is synced in chunks so that a sync of another file does not wait long
	 * behind it.
	 */
	private static final int SYNC_CHUNK_BYTES = 256 * 1024;

	private final Journal file;

	private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

	private long lengthBytes;

	private int unsyncedBytes;

	RecordWriter(Journal file) {
		this.file = file;
	}

	void write(Payload payload) throws IOException {
		Measure measure = new Measure();
		payload.encodeTo(measure);
		ByteBuffer header = Records.header(Math.toIntExact(measure.lengthBytes), (int) measure.checksum.getValue());
		Output output = new Output();
		output.write(header.array());
		payload.encodeTo(output);
	}

	/**
	 * Writes and syncs what is left in the buffer.
	 * @return the length of the file, in bytes
	 */
	long finish() throws IOException {
		drain();
		this.file.sync();
		return this.lengthBytes;
	}

	private void drain() throws IOException {
		this.buffer.flip();
		this.lengthBytes += this.buffer.remaining();
		this.unsyncedBytes += this.buffer.remaining();
		this.file.append(this.buffer);
		this.buffer.clear();
		if (this.unsyncedBytes >= SYNC_CHUNK_BYTES) {
			this.file.sync();
			this.unsyncedBytes = 0;
		}
	}

	/** Encodes the same payload at each call. */
	interface Payload {

		void encodeTo(OutputStream output) throws IOException;

	}

	/** Appends to the buffer. Encoders flush and close it after each payload. */
	private final class Output extends OutputStream {

		@Override
		public void write(int single) throws IOException {
			write(new byte[] { (byte) single });
		}

		@Override
		public void write(byte[] bytes, int from, int length) throws IOException {
			int at = from;
			while (at < from + length) {
				if (!RecordWriter.this.buffer.hasRemaining()) {
					drain();
				}
				int count = Math.min(RecordWriter.this.buffer.remaining(), from + length - at);
				RecordWriter.this.buffer.put(bytes, at, count);
				at += count;
			}
		}

	}

	/** Measures a payload. */
	private static final class Measure extends OutputStream {

		private final CRC32C checksum = new CRC32C();

		private long lengthBytes;

		@Override
		public void write(int single) {
			this.checksum.update(single);
			this.lengthBytes++;
		}

		@Override
		public void write(byte[] bytes, int from, int length) {
			this.checksum.update(bytes, from, length);
			this.lengthBytes += length;
		}

	}

}
