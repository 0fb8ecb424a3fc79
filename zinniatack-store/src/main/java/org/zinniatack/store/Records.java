package org.zinniatack.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The records of a file: a mark, the length of the payload, its checksum, the payload.
 */
final class Records {

	private static final int MARK = 0x5A4E4A31;

	private static final int HEADER_BYTES = 12;

	private Records() {
	}

	static ByteBuffer encode(byte[] payload) {
		ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
		record.putInt(MARK).putInt(payload.length).putInt(checksum(payload, 0, payload.length)).put(payload);
		return record.flip();
	}

	/** Reads records up to a torn tail, which must be followed by no whole record. */
	static Content decode(byte[] bytes) throws ServiceException {
		List<byte[]> payloads = new ArrayList<>();
		int at = 0;
		while (isWhole(bytes, at)) {
			int length = ByteBuffer.wrap(bytes).getInt(at + 4);
			payloads.add(Arrays.copyOfRange(bytes, at + HEADER_BYTES, at + HEADER_BYTES + length));
			at += HEADER_BYTES + length;
		}
		for (int later = at + 1; later < bytes.length; later++) {
			if (isWhole(bytes, later)) {
				throw ServiceException.of(ResultCode.LOG_CORRUPT,
						"the record at byte " + at + " is corrupt and the one at byte " + later + " is whole");
			}
		}
		return new Content(payloads, at, at < bytes.length);
	}

	private static boolean isWhole(byte[] bytes, int at) {
		if (at + HEADER_BYTES > bytes.length) {
			return false;
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		int length = buffer.getInt(at + 4);
		return buffer.getInt(at) == MARK && length >= 0 && length <= bytes.length - at - HEADER_BYTES
				&& buffer.getInt(at + 8) == checksum(bytes, at + HEADER_BYTES, length);
	}

	private static int checksum(byte[] bytes, int from, int length) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes, from, length);
		return (int) checksum.getValue();
	}

	/**
	 * What a file holds.
	 *
	 * @param payloads the payloads of the whole records
	 * @param wholeLength the length of the whole records, in bytes
	 * @param torn true if a torn record follows them
	 */
	record Content(List<byte[]> payloads, int wholeLength, boolean torn) {
	}

}
