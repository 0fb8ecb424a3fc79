package org.zinniatack.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The format of the records of a file. A record is a magic number, the length of the
 * payload, the CRC-32C of the payload, and the payload.
 */
final class Records {

	static final int MAGIC_NUMBER = 0x5A4E4A31;

	static final int LENGTH_OFFSET = 4;

	static final int CHECKSUM_OFFSET = 8;

	static final int HEADER_BYTES = 12;

	private Records() {
	}

	static ByteBuffer encode(byte[] payload) {
		CRC32C checksum = new CRC32C();
		checksum.update(payload);
		return ByteBuffer.allocate(HEADER_BYTES + payload.length)
			.put(header(payload.length, (int) checksum.getValue()))
			.put(payload)
			.flip();
	}

	static ByteBuffer header(int payloadBytes, int checksum) {
		return ByteBuffer.allocate(HEADER_BYTES).putInt(MAGIC_NUMBER).putInt(payloadBytes).putInt(checksum).flip();
	}

}
