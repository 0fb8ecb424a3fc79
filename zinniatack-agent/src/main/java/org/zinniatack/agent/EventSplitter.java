package org.zinniatack.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Parses a stream of server-sent events incrementally and extracts the data of each
 * event.
 */
final class EventSplitter {

	private static final String DATA_PREFIX = "data:";

	private static final String END_MARKER = "[DONE]";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private boolean done;

	private int errorStatus;

	/** Parses the next bytes and emits the data of each complete line. */
	void feed(byte[] bytes, Consumer<byte[]> events) {
		for (byte next : bytes) {
			if (next == '\n') {
				endLine(events);
			}
			else if (next != '\r') {
				this.line.write(next);
			}
		}
	}

	private void endLine(Consumer<byte[]> events) {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (!text.startsWith(DATA_PREFIX) || this.done) {
			return;
		}
		String data = text.substring(DATA_PREFIX.length()).trim();
		if (data.equals(END_MARKER)) {
			this.done = true;
		}
		else {
			events.accept(data.getBytes(StandardCharsets.UTF_8));
		}
	}

	boolean isDone() {
		return this.done;
	}

	void setErrorStatus(int status) {
		this.errorStatus = status;
	}

	int errorStatus() {
		return this.errorStatus;
	}

}
