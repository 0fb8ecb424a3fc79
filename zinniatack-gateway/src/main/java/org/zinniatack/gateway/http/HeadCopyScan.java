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

	private static final int MAXIMUM_HEAD_BYTES = 32 * 1024;

	private final String statusLine;

	private final Set<String> headers;

	/** What may be the head of a copy, from its beginning on. */
	private final ByteArrayOutputStream candidate = new ByteArrayOutputStream();

	private int matchedBytes;

	private boolean found;

	HeadCopyScan(HttpResponse response) {
		this.statusLine = "%s %s".formatted(response.protocolVersion(), response.status()).trim();
		this.headers = response.headers()
			.entries()
			.stream()
			.map((header) -> normalize(header.getKey() + ':' + header.getValue()))
			.collect(Collectors.toSet());
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
			this.matchedBytes = 0;
			this.candidate.reset();
			this.candidate.writeBytes(BEGINNING);
		}
		else if (this.candidate.size() > 0) {
			this.candidate.write(value);
			if (value == '\n') {
				endLine();
			}
		}
		return !this.found;
	}

	private void endLine() {
		String[] lines = this.candidate.toString(StandardCharsets.ISO_8859_1).split("\r?\n", -1);
		boolean emptyLine = lines[lines.length - 2].isEmpty();
		if (emptyLine && lines.length - 3 >= this.headers.size()) {
			this.found = true;
		}
		else if (emptyLine || !isLineOfHead(lines[lines.length - 2], lines.length == 2)
				|| this.candidate.size() > MAXIMUM_HEAD_BYTES) {
			this.candidate.reset();
		}
	}

	private boolean isLineOfHead(String line, boolean first) {
		return first ? line.trim().equals(this.statusLine) : this.headers.contains(normalize(line));
	}

	/**
	 * Returns whether the body read so far ends in the head of a copy, behind a whole
	 * header.
	 */
	boolean endsInCopy() {
		return this.candidate.toString(StandardCharsets.ISO_8859_1).chars().filter((next) -> next == '\n').count() > 1;
	}

}
