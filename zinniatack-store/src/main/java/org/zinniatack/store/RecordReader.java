package org.zinniatack.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Objects;
import java.util.Optional;
import java.util.zip.CRC32C;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Reads the records of a file one after the other through a small window, so that neither
 * the file nor a payload is in memory as a whole.
 */
final class RecordReader implements AutoCloseable {

	private static final int WINDOW_BYTES = 64 * 1024;

	private final Path file;

	private final FileChannel channel;

	private final long lengthBytes;

	private final ByteBuffer window = ByteBuffer.allocate(WINDOW_BYTES).limit(0);

	private long windowOffset;

	private long offset;

	private RecordReader(Path file, FileChannel channel, long offset) throws IOException {
		this.file = file;
		this.channel = channel;
		this.lengthBytes = channel.size();
		this.offset = offset;
	}

	static RecordReader open(Path file) throws IOException {
		return open(file, 0);
	}

	/** Opens a file whose records before an offset are not read. */
	static RecordReader open(Path file, long offset) throws IOException {
		return new RecordReader(file, FileChannel.open(file, StandardOpenOption.READ), offset);
	}

	/**
	 * Returns the payload of the next record, to be read before the following call, or
	 * empty at the end of the file or at a torn tail. A damaged record with an intact one
	 * anywhere behind it is corruption, not a torn tail.
	 */
	Optional<InputStream> next() throws IOException, ServiceException {
		if (!isIntact(this.offset)) {
			requireNoneIntactAfter(this.offset);
			return Optional.empty();
		}
		long payloadOffset = this.offset + Records.HEADER_BYTES;
		this.offset = payloadOffset + intAt(this.offset + Records.LENGTH_OFFSET);
		return Optional.of(new PayloadStream(payloadOffset, this.offset));
	}

	/** Returns the offset behind the records read so far, in bytes. */
	long intactLengthBytes() {
		return this.offset;
	}

	/** Returns whether anything follows the records read so far. */
	boolean hasMore() {
		return this.offset < this.lengthBytes;
	}

	private void requireNoneIntactAfter(long damagedOffset) throws IOException, ServiceException {
		for (long later = damagedOffset + 1; later < this.lengthBytes; later++) {
			if (isIntact(later)) {
				throw ServiceException.of(ResultCode.LOG_CORRUPT, "the record at byte " + damagedOffset + " of "
						+ this.file + " is corrupt, but an intact record follows at byte " + later);
			}
		}
	}

	private boolean isIntact(long at) throws IOException {
		long maximumBytes = this.lengthBytes - at - Records.HEADER_BYTES;
		if (maximumBytes < 0 || intAt(at) != Records.MAGIC_NUMBER) {
			return false;
		}
		int length = intAt(at + Records.LENGTH_OFFSET);
		int checksum = intAt(at + Records.CHECKSUM_OFFSET);
		return length >= 0 && length <= maximumBytes && checksum == checksum(at + Records.HEADER_BYTES, length);
	}

	private int intAt(long at) throws IOException {
		fill(at, Integer.BYTES);
		return this.window.getInt((int) (at - this.windowOffset));
	}

	private int checksum(long from, int length) throws IOException {
		CRC32C checksum = new CRC32C();
		long end = from + length;
		for (long at = from; at < end;) {
			int count = fill(at, end - at);
			checksum.update(this.window.array(), (int) (at - this.windowOffset), count);
			at += count;
		}
		return (int) checksum.getValue();
	}

	/**
	 * Moves the window, unless it holds the wanted bytes.
	 * @return how many of the wanted bytes it holds, at least one
	 */
	private int fill(long at, long wantedBytes) throws IOException {
		long heldBytes = this.windowOffset + this.window.limit() - at;
		if (at < this.windowOffset || heldBytes < Math.min(wantedBytes, Long.BYTES)) {
			this.window.clear();
			this.windowOffset = at;
			while (this.window.hasRemaining()
					&& this.channel.read(this.window, this.windowOffset + this.window.position()) > 0) {
				// Reads until the window is full or the file ends.
			}
			this.window.flip();
			heldBytes = this.window.limit();
		}
		if (heldBytes <= 0) {
			throw new IOException("file " + this.file + " ends before byte " + at);
		}
		return (int) Math.min(wantedBytes, heldBytes);
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

	/** The payload of a record. */
	private final class PayloadStream extends InputStream {

		private final long end;

		private long position;

		private PayloadStream(long start, long end) {
			this.position = start;
			this.end = end;
		}

		@Override
		public int read() throws IOException {
			byte[] single = new byte[1];
			return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
		}

		@Override
		public int read(byte[] target, int from, int length) throws IOException {
			Objects.checkFromIndexSize(from, length, target.length);
			if (length == 0) {
				return 0;
			}
			if (this.position >= this.end) {
				return -1;
			}
			int count = fill(this.position, Math.min(length, this.end - this.position));
			RecordReader.this.window.get((int) (this.position - RecordReader.this.windowOffset), target, from, count);
			this.position += count;
			return count;
		}

	}

}
