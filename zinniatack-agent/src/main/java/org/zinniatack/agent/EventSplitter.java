package org.zinniatack.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts the bytes of a stream of server-sent events into the data of its events.
 */
final class EventSplitter {

	private static final String FIELD = "data:";

	private static final String DONE = "[DONE]";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private boolean done;

	private int refusedStatus;

	/** Takes bytes and passes on the data of each whole event. */
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
		if (!text.startsWith(FIELD) || this.done) {
			return;
		}
		String data = text.substring(FIELD.length()).trim();
		if (data.equals(DONE)) {
			this.done = true;
		}
		else {
			events.accept(data.getBytes(StandardCharsets.UTF_8));
		}
	}

	boolean isDone() {
		return this.done;
	}

	void refused(int status) {
		this.refusedStatus = status;
	}

	int refusedStatus() {
		return this.refusedStatus;
	}

}
