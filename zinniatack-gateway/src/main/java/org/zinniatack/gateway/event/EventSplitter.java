package org.zinniatack.gateway.event;

import java.io.ByteArrayOutputStream;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;

/**
 * Splits the bytes of an event stream into whole events. The bytes of an event whose end
 * has not arrived are kept, up to a limit.
 */
public final class EventSplitter {

	/** An event usually has a few tokens; this has room for some thousands. */
	public static final int MAXIMUM_EVENT_BYTES = 64 * 1024;

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	/**
	 * Reads the next bytes of the stream.
	 * @param content the bytes; reading leaves its reader index as it is
	 * @param consumer receives each event that they complete, and returns false to stop
	 * @return false if the consumer stopped or the current event is too long
	 */
	public boolean read(ByteBuf content, Predicate<StreamEvent> consumer) {
		return content.forEachByte((value) -> add(value, consumer)) < 0 && !isTooLong();
	}

	private boolean add(byte value, Predicate<StreamEvent> consumer) {
		this.partial.write(value);
		if (value != '\n') {
			this.lineEmpty &= value == '\r';
			return !isTooLong();
		}
		if (!this.lineEmpty) {
			this.lineEmpty = true;
			return !isTooLong();
		}
		StreamEvent event = new StreamEvent(this.partial.toByteArray());
		this.partial.reset();
		return consumer.test(event);
	}

	/**
	 * Returns whether bytes of an event are kept whose end has not arrived.
	 * @return true if the stream does not stand at the end of an event
	 */
	public boolean hasPartialEvent() {
		return this.partial.size() > 0;
	}

	private boolean isTooLong() {
		return this.partial.size() > MAXIMUM_EVENT_BYTES;
	}

	/** Drops the bytes of an incomplete event; the next stream begins with an event. */
	public void reset() {
		this.partial.reset();
		this.lineEmpty = true;
	}

}
