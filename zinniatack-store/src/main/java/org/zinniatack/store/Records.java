package org.zinniatack.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Encodes and decodes the records of a file. A record is a magic number, the length of
 * the payload, the CRC-32C of the payload, and the payload.
 */
final class Records {

	private static final int MAGIC_NUMBER = 0x5A4E4A31;

	private static final int HEADER_BYTES = 12;

	private Records() {
	}

	static ByteBuffer encode(byte[] payload) {
		ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
		record.putInt(MAGIC_NUMBER).putInt(payload.length).putInt(checksum(payload, 0, payload.length)).put(payload);
		return record.flip();
	}

	/**
	 * Decodes the records up to the end of the file or to a torn tail. A damaged record
	 * with an intact one anywhere behind it is corruption, not a torn tail.
	 */
	static Content decode(byte[] bytes) throws ServiceException {
		List<byte[]> payloads = new ArrayList<>();
		int offset = 0;
		while (isIntact(bytes, offset)) {
			int length = ByteBuffer.wrap(bytes).getInt(offset + 4);
			payloads.add(Arrays.copyOfRange(bytes, offset + HEADER_BYTES, offset + HEADER_BYTES + length));
			offset += HEADER_BYTES + length;
		}
		for (int laterOffset = offset + 1; laterOffset < bytes.length; laterOffset++) {
			if (isIntact(bytes, laterOffset)) {
				throw ServiceException.of(ResultCode.LOG_CORRUPT, "the record at byte " + offset
						+ " is corrupt, but an intact record follows at byte " + laterOffset);
			}
		}
		return new Content(payloads, offset, offset < bytes.length);
	}

	private static boolean isIntact(byte[] bytes, int offset) {
		if (offset + HEADER_BYTES > bytes.length) {
			return false;
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		int length = buffer.getInt(offset + 4);
		return buffer.getInt(offset) == MAGIC_NUMBER && length >= 0 && length <= bytes.length - offset - HEADER_BYTES
				&& buffer.getInt(offset + 8) == checksum(bytes, offset + HEADER_BYTES, length);
	}

	private static int checksum(byte[] bytes, int from, int length) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes, from, length);
		return (int) checksum.getValue();
	}

	/**
	 * The decoded records of a file.
	 *
	 * @param payloads the payloads of the intact records
	 * @param intactLengthBytes the length of the intact records, in bytes
	 * @param torn true if a torn record follows them
	 */
	record Content(List<byte[]> payloads, int intactLengthBytes, boolean torn) {
	}

}
