package org.zinniatack.gateway.event;

import java.io.ByteArrayOutputStream;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

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
		byte[] bytes = ByteBufUtil.getBytes(content);
		int position = 0;
		while (position < bytes.length) {
			int end = lineEnd(bytes, position);
			if (this.partial.size() + end - position > MAXIMUM_EVENT_BYTES + 1) {
				return false;
			}
			this.partial.write(bytes, position, end - position);
			boolean eventEnded = endsEvent(bytes, position, end);
			if (eventEnded && !passOn(consumer) || isTooLong()) {
				return false;
			}
			position = end;
		}
		return true;
	}

	/** Returns the position behind the line end, or the end of the bytes without one. */
	private static int lineEnd(byte[] bytes, int from) {
		for (int position = from; position < bytes.length; position++) {
			if (bytes[position] == '\n') {
				return position + 1;
			}
		}
		return bytes.length;
	}

	/** Returns whether the bytes end an empty line, which ends an event. */
	private boolean endsEvent(byte[] bytes, int from, int to) {
		boolean lineEnded = bytes[to - 1] == '\n';
		for (int position = from; this.lineEmpty && position < (lineEnded ? to - 1 : to); position++) {
			this.lineEmpty = bytes[position] == '\r';
		}
		boolean emptyLineEnded = lineEnded && this.lineEmpty;
		this.lineEmpty |= lineEnded;
		return emptyLineEnded;
	}

	private boolean passOn(Predicate<StreamEvent> consumer) {
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
