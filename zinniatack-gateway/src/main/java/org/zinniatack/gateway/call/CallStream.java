package org.zinniatack.gateway.call;

import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

import org.zinniatack.gateway.event.EventSplitter;
import org.zinniatack.gateway.event.StreamEvent;

/**
 * The stream of a call as its caller gets it: only whole events, each once and in order,
 * from one target or from several that resume it one after the other. An event is passed
 * on when its last byte has arrived.
 */
final class CallStream {

	private static final String EVENT_STREAM = "text/event-stream";

	private final CallSink sink;

	/** The head that the caller has, or null before it. */
	private @Nullable HttpResponse head;

	/** The id of the last event with an id. */
	private OptionalLong lastEventId = OptionalLong.empty();

	/** True if an event with data but without an id was passed on. */
	private boolean unnumbered;

	/** True if a target began an event that was not yet passed on. */
	private boolean eventMissing;

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
		return this.head != null;
	}

	/** Passes on the head of the first response, and returns the part that follows it. */
	Part begin(HttpResponse firstHead) {
		this.head = firstHead;
		this.sink.beginStream(firstHead);
		return new Part(OptionalLong.empty());
	}

	/** Returns whether the caller has an event. */
	boolean hasEvents() {
		return this.unnumbered || this.lastEventId.isPresent();
	}

	/** Returns whether another target can continue after the events passed on. */
	boolean isResumable() {
		return !this.unnumbered && (this.lastEventId.isEmpty() || this.lastEventId.getAsLong() > 0);
	}

	/** Returns the id of the event after which a target resumes, or 0 for the start. */
	long resumeAfterEvent() {
		return this.lastEventId.orElse(0);
	}

	/** Returns whether a response with this head may continue the stream. */
	boolean isContinuedBy(HttpResponse nextHead) {
		return this.head != null && isStream(nextHead) && nextHead.status().equals(this.head.status());
	}

	/** Returns the part that another target sends; the caller keeps the first head. */
	Part resume() {
		return new Part(
				this.lastEventId.isEmpty() ? OptionalLong.empty() : OptionalLong.of(this.lastEventId.getAsLong() + 1));
	}

	/** What one target sends of the stream. */
	final class Part {

		private final EventSplitter splitter = new EventSplitter();

		/** The id that the first event must have, or empty if any will do. */
		private final OptionalLong firstId;

		private int eventCount;

		private Part(OptionalLong firstId) {
			this.firstId = firstId;
		}

		/** Passes on the events that the content completes. */
		Reading read(ByteBuf content) {
			ByteBuf events = Unpooled.buffer(content.readableBytes());
			try {
				boolean valid = this.splitter.read(content, (event) -> add(event, events));
				CallStream.this.eventMissing |= valid && this.splitter.hasPartialEvent();
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
			if (!event.isMute()) {
				this.eventCount++;
				CallStream.this.eventMissing = false;
			}
			events.writeBytes(event.bytes());
			return true;
		}

		private boolean isNext(StreamEvent event) {
			OptionalLong last = CallStream.this.lastEventId;
			if (event.isMute()) {
				return true;
			}
			if (!event.isWellFormed() || event.id().isEmpty()) {
				return event.isWellFormed() && last.isEmpty();
			}
			long id = event.id().getAsLong();
			if (this.eventCount == 0 && this.firstId.isPresent()) {
				return id == this.firstId.getAsLong();
			}
			return last.isEmpty() || id > last.getAsLong();
		}

		/**
		 * Returns whether the stream is complete when the response ends. One whose end
		 * only the close of its connection marks is cut if it had no event, and any is if
		 * it lacks the event in whose middle an earlier one was cut.
		 */
		boolean isCompleteAtEnd(HttpResponse partHead) {
			boolean framed = HttpUtil.isContentLengthSet(partHead) || HttpUtil.isTransferEncodingChunked(partHead);
			return !this.splitter.hasPartialEvent() && !CallStream.this.eventMissing && (framed || this.eventCount > 0);
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
