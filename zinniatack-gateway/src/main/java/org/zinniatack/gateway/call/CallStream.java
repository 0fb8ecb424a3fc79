package org.zinniatack.gateway.call;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

import org.zinniatack.gateway.event.EventSplitter;
import org.zinniatack.gateway.event.StreamEvent;

/**
 * The stream of a call as its caller gets it: only whole events, each once and in order.
 * An event is passed on when its last byte has arrived.
 */
final class CallStream {

	private static final String EVENT_STREAM = "text/event-stream";

	private final CallSink sink;

	private boolean begun;

	/** The id of the last event with an id. */
	private OptionalLong lastEventId = OptionalLong.empty();

	/** True if an event with data but without an id was passed on. */
	private boolean unnumbered;

	CallStream(CallSink sink) {
		this.sink = sink;
	}

	/** Returns whether a response is an event stream and no plain answer. */
	static boolean isStream(HttpResponse head) {
		return head.status().codeClass() == HttpStatusClass.SUCCESS
				&& head.headers().get(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM).startsWith(EVENT_STREAM);
	}

	/** Returns whether the caller has the head of a response. */
	boolean isBegun() {
		return this.begun;
	}

	/** Passes on the head of the first response, and returns the part that follows it. */
	Part begin(HttpResponse head) {
		this.begun = true;
		this.sink.beginStream(head);
		return new Part();
	}

	/** What one target sends of the stream. */
	final class Part {

		private final EventSplitter splitter = new EventSplitter();

		private int eventCount;

		/** Passes on the events that the content completes. */
		Reading read(ByteBuf content) {
			ByteBuf events = Unpooled.buffer(content.readableBytes());
			try {
				boolean valid = this.splitter.read(content, (event) -> add(event, events));
				if (events.isReadable() && !CallStream.this.sink.continueStream(events)) {
					return Reading.UNREAD;
				}
				return valid ? Reading.PASSED_ON : Reading.INVALID;
			}
			finally {
				events.release();
			}
		}

		private boolean add(StreamEvent event, ByteBuf events) {
			if (!isNext(event)) {
				return false;
			}
			event.id().ifPresent((id) -> CallStream.this.lastEventId = OptionalLong.of(id));
			CallStream.this.unnumbered |= event.id().isEmpty() && !event.isMute();
			this.eventCount += event.isMute() ? 0 : 1;
			events.writeBytes(event.bytes());
			return true;
		}

		private boolean isNext(StreamEvent event) {
			OptionalLong last = CallStream.this.lastEventId;
			if (event.isMute()) {
				return true;
			}
			if (event.id().isEmpty()) {
				return last.isEmpty() && event.isWellFormed();
			}
			return event.isWellFormed() && (last.isEmpty() || event.id().getAsLong() > last.getAsLong());
		}

		/**
		 * Returns whether the stream is complete when the response ends. One whose end
		 * only the close of its connection marks is cut if it had no event.
		 */
		boolean isCompleteAtEnd(HttpResponse head) {
			boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
			return !this.splitter.hasPartialEvent() && (framed || this.eventCount > 0);
		}

	}

	/** The result of reading content. */
	enum Reading {

		/** Whole events were passed on; the part may go on. */
		PASSED_ON,

		/** What follows is no event, or not the next one, or too long. */
		INVALID,

		/** The caller does not read what was passed on. */
		UNREAD

	}

}
