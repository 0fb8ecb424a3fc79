package org.zinniatack.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Looks for a second copy of a response in its own body. Only the end of the connection
 * marks the end of a body without a length, so a copy becomes a part of it; it begins
 * with the same head, which holds the id of the request.
 */
final class HeadCopyScan {

	private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

	private static final int MAXIMUM_LINE_BYTES = 32 * 1024;

	private final String statusLine;

	private final Set<String> headers;

	private final int headerCount;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private int matchedBytes;

	/** Whether all bytes since the last beginning may be the head of a copy. */
	private boolean inCopy;

	/** The lines of the copy that are those of the head, with the status line. */
	private int matchedLines;

	private boolean found;

	HeadCopyScan(HttpResponse response) {
		this.statusLine = "%s %s".formatted(response.protocolVersion(), response.status()).trim();
		this.headers = response.headers()
			.entries()
			.stream()
			.map((header) -> normalize(header.getKey() + ':' + header.getValue()))
			.collect(Collectors.toSet());
		this.headerCount = response.headers().size();
	}

	private static String normalize(String line) {
		int colon = line.indexOf(':');
		return (colon < 0) ? line
				: line.substring(0, colon).toLowerCase(Locale.ROOT) + ':' + line.substring(colon + 1).trim();
	}

	/** Reads the next bytes of the body; returns whether it holds a copy. */
	boolean read(ByteBuf content) {
		if (!this.found) {
			content.forEachByte(this::add);
		}
		return this.found;
	}

	private boolean add(byte value) {
		this.matchedBytes = (value == BEGINNING[this.matchedBytes]) ? this.matchedBytes + 1
				: (value == BEGINNING[0]) ? 1 : 0;
		if (this.matchedBytes == BEGINNING.length) {
			beginCopy();
		}
		else if (this.inCopy && value == '\n') {
			endLine();
		}
		else if (this.inCopy) {
			this.line.write(value);
			this.inCopy = this.line.size() <= MAXIMUM_LINE_BYTES;
		}
		return !this.found;
	}

	private void beginCopy() {
		this.matchedBytes = 0;
		this.inCopy = true;
		this.matchedLines = 0;
		this.line.reset();
		this.line.writeBytes(BEGINNING);
	}

	private void endLine() {
		String text = this.line.toString(StandardCharsets.ISO_8859_1).trim();
		this.line.reset();
		this.found = text.isEmpty() && this.matchedLines == this.headerCount + 1;
		this.inCopy = (this.matchedLines == 0) ? text.equals(this.statusLine)
				: this.matchedLines <= this.headerCount && this.headers.contains(normalize(text));
		this.matchedLines++;
	}

	/**
	 * Returns whether the body read so far ends in the head of a copy, behind a whole
	 * header.
	 */
	boolean endsInCopy() {
		return this.inCopy && this.matchedLines > 1;
	}

}
