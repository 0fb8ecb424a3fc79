package org.zinniatack.store;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The format of a snapshot file: records of {@link Snapshot#PART_BYTES} of the encoded
 * state, of which only the last may be shorter, and a record with the header. So the
 * state is written and read as a stream, and any part of it can be read alone.
 */
final class SnapshotFile {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

	private SnapshotFile() {
	}

	/** Writes a snapshot and returns it with its size. */
	static Snapshot write(Journal output, Snapshot header, ReplicaStore.SnapshotEncoder encoder) throws IOException {
		PartOutput parts = new PartOutput(output);
		encoder.encodeTo(parts);
		Snapshot written = new Snapshot(header.index(), header.term(), header.membership(), parts.finish());
		writeHeader(output, written);
		return written;
	}

	/** Writes and syncs a part of the encoded state. */
	static void writePart(Journal output, byte[] part) throws IOException {
		output.append(Records.encode(part));
		output.sync();
	}

	static void writeHeader(Journal output, Snapshot header) throws IOException {
		output.append(Records.encode(MAPPER.writeValueAsBytes(Header.of(header))));
		output.sync();
	}

	/**
	 * Checks all records of a file and returns its header. A file of an earlier version,
	 * which held everything in one record, is replaced by one of this format.
	 */
	static Snapshot readHeader(Path file, Replacement replacement, Journal.Factory journalFactory)
			throws IOException, ServiceException {
		long headerOffset = 0;
		try (RecordReader records = RecordReader.open(file)) {
			long offset = 0;
			while (records.next().isPresent()) {
				headerOffset = offset;
				offset = records.intactLengthBytes();
			}
			if (offset == 0 || records.hasMore()) {
				throw ServiceException.of(ResultCode.LOG_CORRUPT,
						"snapshot file " + file + " has no intact record at byte " + offset);
			}
		}
		Header header = readHeader(file, headerOffset);
		byte[] state = header.state();
		return (state != null) ? convert(file, header.toSnapshot(), state, replacement, journalFactory)
				: header.toSnapshot();
	}

	private static Header readHeader(Path file, long offset) throws IOException, ServiceException {
		try (RecordReader records = RecordReader.open(file, offset)) {
			Optional<InputStream> payload = records.next();
			if (payload.isEmpty()) {
				throw ServiceException.of(ResultCode.LOG_CORRUPT, "snapshot file " + file + " has no header");
			}
			return MAPPER.readValue(payload.get(), Header.class);
		}
	}

	private static Snapshot convert(Path file, Snapshot header, byte[] state, Replacement replacement,
			Journal.Factory journalFactory) throws IOException {
		Path temporary = file.resolveSibling("converted-" + file.getFileName() + ".tmp");
		Files.deleteIfExists(temporary);
		Snapshot converted;
		try (Journal output = journalFactory.open(temporary)) {
			converted = write(output, header, (stream) -> stream.write(state));
		}
		replacement.replaceBy(temporary);
		return converted;
	}

	/** Opens the encoded state. */
	static InputStream open(Path file, long sizeBytes) throws IOException {
		return new PartInput(RecordReader.open(file), sizeBytes);
	}

	/** Reads a part that one record holds. */
	static byte[] readPart(Path file, long offset, int length) throws IOException, ServiceException {
		long recordOffset = offset / Snapshot.PART_BYTES * (Snapshot.PART_BYTES + Records.HEADER_BYTES);
		ByteBuffer record = ByteBuffer.allocate(Records.HEADER_BYTES + length);
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
			while (record.hasRemaining() && channel.read(record, recordOffset + record.position()) > 0) {
				// Reads until the part is complete or the file ends.
			}
		}
		byte[] part = new byte[length];
		record.flip();
		CRC32C checksum = new CRC32C();
		if (record.remaining() == Records.HEADER_BYTES + length) {
			record.get(Records.HEADER_BYTES, part);
			checksum.update(part);
		}
		if (record.remaining() < Records.HEADER_BYTES + length
				|| record.getInt(Records.CHECKSUM_OFFSET) != (int) checksum.getValue()) {
			throw ServiceException.of(ResultCode.LOG_CORRUPT,
					"snapshot file " + file + " has no intact part of " + length + " bytes at byte " + offset);
		}
		return part;
	}

	/** Replaces a file by another one. */
	@FunctionalInterface
	interface Replacement {

		void replaceBy(Path other) throws IOException;

	}

	/** The header. Earlier versions stored the encoded state in it. */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	private record Header(long index, long term, Membership membership, long sizeBytes, byte @Nullable [] state) {

		static Header of(Snapshot snapshot) {
			return new Header(snapshot.index(), snapshot.term(), snapshot.membership(), snapshot.sizeBytes(), null);
		}

		Snapshot toSnapshot() {
			return new Snapshot(this.index, this.term, this.membership, this.sizeBytes);
		}

	}

	/** Divides what is written into records. */
	private static final class PartOutput extends OutputStream {

		private final Journal output;

		private final byte[] part = new byte[Snapshot.PART_BYTES];

		private int count;

		private long sizeBytes;

		PartOutput(Journal output) {
			this.output = output;
		}

		@Override
		public void write(int single) throws IOException {
			write(new byte[] { (byte) single });
		}

		@Override
		public void write(byte[] bytes, int from, int length) throws IOException {
			int at = from;
			while (at < from + length) {
				int copied = Math.min(this.part.length - this.count, from + length - at);
				System.arraycopy(bytes, at, this.part, this.count, copied);
				this.count += copied;
				at += copied;
				if (this.count == this.part.length) {
					writeWhole();
				}
			}
		}

		private void writeWhole() throws IOException {
			writePart(this.output, (this.count == this.part.length) ? this.part : Arrays.copyOf(this.part, this.count));
			this.sizeBytes += this.count;
			this.count = 0;
		}

		/** Writes what is left and returns the size of all, in bytes. */
		long finish() throws IOException {
			if (this.count > 0) {
				writeWhole();
			}
			return this.sizeBytes;
		}

	}

	/** Joins the records. */
	private static final class PartInput extends InputStream {

		private final RecordReader records;

		private InputStream part = InputStream.nullInputStream();

		private long remainingBytes;

		PartInput(RecordReader records, long sizeBytes) {
			this.records = records;
			this.remainingBytes = sizeBytes;
		}

		@Override
		public int read() throws IOException {
			byte[] single = new byte[1];
			return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
		}

		@Override
		public int read(byte[] target, int from, int length) throws IOException {
			if (length == 0) {
				return 0;
			}
			if (this.remainingBytes == 0) {
				return -1;
			}
			int count = this.part.read(target, from, (int) Math.min(length, this.remainingBytes));
			while (count < 0) {
				this.part = nextPart();
				count = this.part.read(target, from, (int) Math.min(length, this.remainingBytes));
			}
			this.remainingBytes -= count;
			return count;
		}

		private InputStream nextPart() throws IOException {
			try {
				return this.records.next()
					.orElseThrow(() -> new IOException(
							"the snapshot ends " + this.remainingBytes + " bytes before its size"));
			}
			catch (ServiceException ex) {
				throw new IOException(ex.getMessage(), ex);
			}
		}

		@Override
		public void close() throws IOException {
			this.records.close();
		}

	}

}
