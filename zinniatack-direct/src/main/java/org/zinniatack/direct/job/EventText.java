package org.zinniatack.direct.job;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;

import org.zinniatack.core.job.PartialText;

/**
 * The output of an item, read from event streams of one or more targets. Each stream goes
 * on after the last whole event of the one before.
 */
final class EventText {

	/** Results are read in pages of a megabyte, so a longer text could not be read. */
	static final int MAXIMUM_TEXT_BYTES = 1024 * 1024;

	/** An event holds a few tokens; this is room for some thousands. */
	static final int MAXIMUM_EVENT_BYTES = 64 * 1024;

	/** What an event takes in memory beside its characters. */
	private static final int KEPT_EVENT_BYTES = 64;

	/** The id of the first event of an output; some targets count from 0. */
	private static final long FIRST_ID = 1;

	private final Function<String, OptionalLong> versionOfLine;

	private final List<String> data = new ArrayList<>();

	private final List<Long> versions = new ArrayList<>();

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final List<String> eventData = new ArrayList<>();

	private OptionalLong eventId = OptionalLong.empty();

	private OptionalLong eventVersion = OptionalLong.empty();

	private long lastId;

	private long currentVersion;

	private boolean outOfOrder;

	private boolean tooLong;

	/** The bytes of the event that is under way. */
	private int eventBytes;

	/** The bytes of all whole events, each with what keeping it takes. */
	private int textBytes;

	EventText(Function<String, OptionalLong> versionOfLine) {
		this.versionOfLine = versionOfLine;
	}

	/** Begins a further stream under a version. */
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
			return !isUnsound();
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
		boolean follows = this.data.isEmpty() ? this.eventId.orElse(0) <= FIRST_ID
				: this.eventId.orElse(0) == this.lastId + 1;
		if (this.eventId.isEmpty() || !follows) {
			this.outOfOrder = true;
		}
		else {
			this.lastId = this.eventId.getAsLong();
			this.currentVersion = this.eventVersion.orElse(this.currentVersion);
			if (this.versions.isEmpty() || this.versions.get(this.versions.size() - 1) != this.currentVersion) {
				this.versions.add(this.currentVersion);
			}
			String whole = String.join("\n", this.eventData);
			this.data.add(whole);
			this.textBytes += whole.length() + KEPT_EVENT_BYTES;
		}
		clearEvent();
	}

	private void clearEvent() {
		this.eventBytes = 0;
		this.eventData.clear();
		this.eventId = OptionalLong.empty();
		this.eventVersion = OptionalLong.empty();
	}

	/** Takes over events that were stored, to go on after them. */
	void restore(PartialText stored) {
		reset();
		stored.events().forEach((event) -> this.textBytes += event.length() + KEPT_EVENT_BYTES);
		this.data.addAll(stored.events());
		this.versions.addAll(stored.versions());
		this.lastId = stored.lastEventId();
	}

	/** Returns the events from a position on, with all versions so far. */
	PartialText eventsFrom(int position) {
		return new PartialText(this.data.subList(position, this.data.size()), versions(), this.lastId);
	}

	/** Forgets all events, to begin again. */
	void reset() {
		this.data.clear();
		this.versions.clear();
		this.lastId = 0;
		this.textBytes = 0;
		this.outOfOrder = false;
		this.tooLong = false;
	}

	/**
	 * Returns whether an event was missing, came twice or had no id, or an event or the
	 * text is longer than any that can be used. Nothing more is read then.
	 */
	boolean isUnsound() {
		return this.outOfOrder || this.tooLong;
	}

	/** Returns whether bytes of an event came without its end. */
	boolean isMidEvent() {
		return this.line.size() > 0 || !this.eventData.isEmpty() || this.eventId.isPresent();
	}

	int eventCount() {
		return this.data.size();
	}

	long lastId() {
		return this.lastId;
	}

	List<Long> versions() {
		return this.versions.stream().distinct().toList();
	}

	String text() {
		return textFrom(0);
	}

	String textFrom(int position) {
		return String.join("\n", this.data.subList(position, this.data.size()));
	}

}
