package org.zinniatack.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Parses a stream of server-sent events incrementally and extracts the data of each
 * event.
 */
final class EventSplitter {

	/** An event usually has a few tokens; this has room for some thousands. */
	private static final int MAXIMUM_LINE_BYTES = 64 * 1024;

	private static final String DATA_PREFIX = "data:";

	private static final String END_MARKER = "[DONE]";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private boolean done;

	/**
	 * Parses the next bytes and emits the data of each complete line.
	 * @throws ServiceException if a line is too long to be an event
	 */
	void feed(byte[] bytes, Consumer<byte[]> events) throws ServiceException {
		for (byte next : bytes) {
			if (next == '\n') {
				endLine(events);
			}
			else if (this.line.size() >= MAXIMUM_LINE_BYTES) {
				throw ServiceException.of(ResultCode.TARGET_FAILED,
						"a line of the engine's event stream exceeds " + MAXIMUM_LINE_BYTES + " bytes");
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

}
