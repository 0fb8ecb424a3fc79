package org.zinniatack.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * Looks for the beginning of a second response in a body. A body that was cut may be
 * filled up to its length by the copy of its response.
 */
final class SecondResponseScan {

	private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

	private int matchedBytes;

	private boolean found;

	/** Reads the next bytes of the body. */
	void read(ByteBuf content) {
		if (!this.found) {
			content.forEachByte(this::add);
		}
	}

	private boolean add(byte value) {
		if (value != BEGINNING[this.matchedBytes]) {
			this.matchedBytes = 0;
		}
		if (value == BEGINNING[this.matchedBytes]) {
			this.matchedBytes++;
		}
		this.found = this.matchedBytes == BEGINNING.length;
		return !this.found;
	}

	/**
	 * Returns whether the body read so far holds the beginning of a response, or ends
	 * with a part of it.
	 */
	boolean mayHoldBeginning() {
		return this.found || this.matchedBytes > 0;
	}

	/**
	 * Returns whether bytes behind a body are the beginning of a response, as far as they
	 * go, or a line end.
	 */
	static boolean mayFollow(ByteBuf bytes) {
		return bytes.forEachByte(SecondResponseScan::isLineEnd) < 0 || isBeginning(bytes);
	}

	private static boolean isLineEnd(byte value) {
		return value == '\r' || value == '\n';
	}

	private static boolean isBeginning(ByteBuf bytes) {
		int count = Math.min(BEGINNING.length, bytes.readableBytes());
		for (int position = 0; position < count; position++) {
			if (bytes.getByte(bytes.readerIndex() + position) != BEGINNING[position]) {
				return false;
			}
		}
		return true;
	}

}
