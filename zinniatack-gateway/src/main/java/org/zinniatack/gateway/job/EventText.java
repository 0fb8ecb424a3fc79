package org.zinniatack.gateway.job;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;

import org.zinniatack.core.job.PartialText;

/**
 * Assembles the output of an item from the event streams of one or more targets. Each
 * stream continues after the last complete event of the previous one.
 */
final class EventText {

	/** Results are read in pages of one megabyte, so a longer text would not fit. */
	static final int MAXIMUM_TEXT_BYTES = 1024 * 1024;

	/** An event usually has a few tokens; this has room for some thousands. */
	static final int MAXIMUM_EVENT_BYTES = 64 * 1024;

	/** Memory that an event takes in addition to its characters. */
	private static final int EVENT_OVERHEAD_BYTES = 64;

	/** Targets number the events of an output from 0 or from 1. */
	private static final long MAXIMUM_FIRST_ID = 1;

	private final Function<String, OptionalLong> versionOfLine;

	private final List<String> completeEvents = new ArrayList<>();

	private final List<Long> versions = new ArrayList<>();

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final List<String> eventData = new ArrayList<>();

	private OptionalLong eventId = OptionalLong.empty();

	private OptionalLong eventVersion = OptionalLong.empty();

	private long lastEventId;

	private long currentVersion;

	private boolean outOfOrder;

	private boolean tooLong;

	/** Bytes of the current, incomplete event. */
	private int eventBytes;

	/** Bytes of all complete events, including their memory overhead. */
	private int textBytes;

	EventText(Function<String, OptionalLong> versionOfLine) {
		this.versionOfLine = versionOfLine;
	}

	/** Starts the next stream, which begins with the given weight version. */
	void beginStream(long version) {
		this.line.reset();
		clearEvent();
		this.currentVersion = version;
	}

	void read(ByteBuf content) {
		content.forEachByte((value) -> {
			this.eventBytes++;
			if (value == '\n') {
				endLine();
			}
			else {
				this.line.write(value);
			}
			this.tooLong |= this.eventBytes > MAXIMUM_EVENT_BYTES || this.textBytes > MAXIMUM_TEXT_BYTES;
			return !isInvalid();
		});
	}

	private void endLine() {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.endsWith("\r")) {
			text = text.substring(0, text.length() - 1);
		}
		if (text.isEmpty()) {
			endEvent();
		}
		else if (text.startsWith("data:")) {
			this.eventData.add(valueOf(text));
		}
		else if (text.startsWith("id:")) {
			this.eventId = parse(valueOf(text));
		}
		else {
			OptionalLong version = this.versionOfLine.apply(text);
			if (version.isPresent()) {
				this.eventVersion = version;
			}
		}
	}

	private static String valueOf(String line) {
		String value = line.substring(line.indexOf(':') + 1);
		return value.startsWith(" ") ? value.substring(1) : value;
	}

	private static OptionalLong parse(String number) {
		return number.matches("\\d{1,18}") ? OptionalLong.of(Long.parseLong(number)) : OptionalLong.empty();
	}

	private void endEvent() {
		if (this.eventId.isEmpty() && this.eventData.isEmpty()) {
			clearEvent();
			return;
		}
		boolean inOrder = this.completeEvents.isEmpty() ? this.eventId.orElse(0) <= MAXIMUM_FIRST_ID
				: this.eventId.orElse(0) == this.lastEventId + 1;
		if (this.eventId.isEmpty() || !inOrder) {
			this.outOfOrder = true;
		}
		else {
			this.lastEventId = this.eventId.getAsLong();
			this.currentVersion = this.eventVersion.orElse(this.currentVersion);
			if (this.versions.isEmpty() || this.versions.get(this.versions.size() - 1) != this.currentVersion) {
				this.versions.add(this.currentVersion);
			}
			String joinedData = String.join("\n", this.eventData);
			this.completeEvents.add(joinedData);
			this.textBytes += joinedData.length() + EVENT_OVERHEAD_BYTES;
		}
		clearEvent();
	}

	private void clearEvent() {
		this.eventBytes = 0;
		this.eventData.clear();
		this.eventId = OptionalLong.empty();
		this.eventVersion = OptionalLong.empty();
	}

	/** Replaces the output with stored events; the next stream continues after them. */
	void restore(PartialText stored) {
		reset();
		stored.events().forEach((event) -> this.textBytes += event.length() + EVENT_OVERHEAD_BYTES);
		this.completeEvents.addAll(stored.events());
		this.versions.addAll(stored.versions());
		this.lastEventId = stored.lastEventId();
	}

	/** Returns the events from a position, with all versions so far. */
	PartialText eventsFrom(int position) {
		return new PartialText(this.completeEvents.subList(position, this.completeEvents.size()), versions(),
				this.lastEventId);
	}

	/** Discards all events. */
	void reset() {
		this.completeEvents.clear();
		this.versions.clear();
		this.lastEventId = 0;
		this.textBytes = 0;
		this.outOfOrder = false;
		this.tooLong = false;
	}

	/**
	 * Returns whether an event was missing, repeated or without id, or an event or the
	 * text was too long. No further content is read then.
	 */
	boolean isInvalid() {
		return this.outOfOrder || this.tooLong;
	}

	/** Returns whether the last event is incomplete. */
	boolean hasPartialEvent() {
		return this.line.size() > 0 || !this.eventData.isEmpty() || this.eventId.isPresent();
	}

	int eventCount() {
		return this.completeEvents.size();
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
