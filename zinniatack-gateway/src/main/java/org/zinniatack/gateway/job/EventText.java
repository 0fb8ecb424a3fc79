package org.zinniatack.gateway.job;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.job.PartialText;
import org.zinniatack.gateway.event.EventSplitter;
import org.zinniatack.gateway.event.StreamEvent;

/**
 * Assembles the output of an item from the event streams of one or more targets. Each
 * stream continues after the last complete event of the previous one.
 */
final class EventText {

	/** Results are read in pages of one megabyte, so a longer text would not fit. */
	static final int MAXIMUM_TEXT_BYTES = 1024 * 1024;

	/** Memory that an event takes in addition to its characters. */
	private static final int EVENT_OVERHEAD_BYTES = 64;

	/** Targets number the events of an output from 0 or from 1. */
	private static final long MAXIMUM_FIRST_ID = 1;

	/** The streams without an event in a row after which the output starts again. */
	private static final int MAXIMUM_EMPTY_STREAMS = 2;

	/**
	 * The streams in a row that began and were lost without an event, after which the
	 * output starts again. Such a stream may only be slow.
	 */
	private static final int MAXIMUM_LOST_STREAMS = 6;

	private final Function<String, OptionalLong> versionOfLine;

	private final List<String> completeEvents = new ArrayList<>();

	private final List<Long> versions = new ArrayList<>();

	private final EventSplitter splitter = new EventSplitter();

	private long lastEventId;

	private long currentVersion;

	/** The software version of the targets of all complete events. */
	private String softwareVersion = "";

	/** The software version of the target of the current stream. */
	private String streamSoftwareVersion = "";

	/** True if the complete events are of more than one stream. */
	private boolean joined;

	private boolean outOfOrder;

	private boolean tooLong;

	/** True if the current stream has something that is no event. */
	private boolean malformed;

	/** True if a target began an event that is not complete in any stream. */
	private boolean eventMissing;

	/** The number of events of the current stream. */
	private int streamEventCount;

	/** The number of streams since the last event that ended without one. */
	private int emptyStreamCount;

	/** The number of streams since the last event that were lost without one. */
	private int lostStreamCount;

	/** True if a stream has begun and neither ended nor was lost. */
	private boolean streaming;

	/** Bytes of all complete events, including their memory overhead. */
	private int textBytes;

	EventText(Function<String, OptionalLong> versionOfLine) {
		this.versionOfLine = versionOfLine;
	}

	/**
	 * Starts the next stream.
	 * @param version the weight version that it begins with
	 * @param targetSoftwareVersion the software version of its target
	 */
	void beginStream(long version, String targetSoftwareVersion) {
		this.streamSoftwareVersion = targetSoftwareVersion;
		this.splitter.reset();
		this.streaming = true;
		this.malformed = false;
		this.streamEventCount = 0;
		this.currentVersion = version;
	}

	void read(ByteBuf content) {
		boolean stopped = !this.splitter.read(content, this::add);
		this.tooLong |= stopped && !this.outOfOrder && !this.malformed;
		this.eventMissing |= this.splitter.hasPartialEvent();
	}

	/** Returns whether the stream may go on after the event. */
	private boolean add(StreamEvent event) {
		this.malformed = !event.isWellFormed();
		if (this.malformed) {
			return false;
		}
		List<String> data = event.data();
		if (event.id().isEmpty() && data.isEmpty()) {
			return true;
		}
		OptionalLong id = event.id();
		boolean inOrder = this.completeEvents.isEmpty() ? id.orElse(0) <= MAXIMUM_FIRST_ID
				: id.orElse(0) == this.lastEventId + 1;
		this.outOfOrder = id.isEmpty() || !inOrder;
		if (!this.outOfOrder) {
			this.lastEventId = id.getAsLong();
			addVersion(event);
			addData(String.join("\n", data));
		}
		return !this.outOfOrder && this.textBytes <= MAXIMUM_TEXT_BYTES;
	}

	private void addVersion(StreamEvent event) {
		event.lines()
			.stream()
			.map(this.versionOfLine)
			.flatMapToLong(OptionalLong::stream)
			.forEach((version) -> this.currentVersion = version);
		if (this.versions.isEmpty() || this.versions.get(this.versions.size() - 1) != this.currentVersion) {
			this.versions.add(this.currentVersion);
		}
	}

	private void addData(String data) {
		this.joined |= this.streamEventCount == 0 && !this.completeEvents.isEmpty();
		this.softwareVersion = this.streamSoftwareVersion;
		this.completeEvents.add(data);
		this.textBytes += data.length() + EVENT_OVERHEAD_BYTES;
		this.streamEventCount++;
		this.emptyStreamCount = 0;
		this.lostStreamCount = 0;
		this.eventMissing = false;
	}

	/** Records that the rest of the current stream, if one has begun, was lost. */
	void loseStream() {
		if (this.streaming && this.streamEventCount == 0 && !this.completeEvents.isEmpty()) {
			this.lostStreamCount++;
		}
		this.streaming = false;
	}

	/**
	 * Ends the current stream and returns whether the output is complete.
	 * @param framed true if the response states where it ends, so that an end without
	 * events is no crash
	 */
	boolean endStream(boolean framed) {
		this.streaming = false;
		if (this.splitter.hasPartialEvent() || this.malformed || this.completeEvents.isEmpty()) {
			return false;
		}
		if (this.streamEventCount > 0) {
			return true;
		}
		this.emptyStreamCount++;
		return framed && !this.eventMissing;
	}

	/**
	 * Returns whether streams continue the output with nothing, although its end is not
	 * known. It may be whole already, which only a new start can show.
	 */
	boolean isStuck() {
		return this.emptyStreamCount >= MAXIMUM_EMPTY_STREAMS || this.lostStreamCount >= MAXIMUM_LOST_STREAMS;
	}

	/** Replaces the output with stored events; the next stream continues after them. */
	void restore(PartialText stored) {
		reset();
		stored.events().forEach((event) -> this.textBytes += event.length() + EVENT_OVERHEAD_BYTES);
		this.completeEvents.addAll(stored.events());
		this.versions.addAll(stored.versions());
		this.lastEventId = stored.lastEventId();
		this.softwareVersion = stored.softwareVersion();
	}

	/** Returns the events from a position, with all versions so far. */
	PartialText eventsFrom(int position) {
		return new PartialText(this.completeEvents.subList(position, this.completeEvents.size()), versions(),
				this.lastEventId, this.softwareVersion);
	}

	/** Discards all events. */
	void reset() {
		this.completeEvents.clear();
		this.versions.clear();
		this.lastEventId = 0;
		this.softwareVersion = "";
		this.joined = false;
		this.textBytes = 0;
		this.outOfOrder = false;
		this.tooLong = false;
		this.eventMissing = false;
		this.emptyStreamCount = 0;
		this.lostStreamCount = 0;
	}

	/**
	 * Returns whether an event was missing, repeated or without id, or an event or the
	 * text was too long. No further content is read then.
	 */
	boolean isInvalid() {
		return this.outOfOrder || this.tooLong;
	}

	/**
	 * Returns whether the current stream has something that is no event, such as the head
	 * of another response. The events before it remain.
	 */
	boolean isMalformed() {
		return this.malformed;
	}

	int eventCount() {
		return this.completeEvents.size();
	}

	/**
	 * Returns the software version that a target must have to continue the events, or
	 * null if there are none, so that any target can begin.
	 */
	@Nullable String requiredSoftwareVersion() {
		return this.completeEvents.isEmpty() ? null : this.softwareVersion;
	}

	/** Returns whether the complete events are of more than one stream. */
	boolean isJoined() {
		return this.joined;
	}

	long lastEventId() {
		return this.lastEventId;
	}

	List<Long> versions() {
		return this.versions.stream().distinct().toList();
	}

	String text() {
		return textFrom(0);
	}

	String textFrom(int position) {
		return String.join("\n", this.completeEvents.subList(position, this.completeEvents.size()));
	}

}
