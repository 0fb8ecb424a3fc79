package org.zinniatack.gateway.event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * One whole event of an event stream: its lines up to and including the empty line.
 */
public final class StreamEvent {

	private static final String ID = "id:";

	private static final String DATA = "data:";

	/** A comment, a standard field, or a field of another name with a value. */
	private static final Pattern LINE = Pattern.compile(":.*|(data|id|event|retry)(:.*)?|[a-z][a-z0-9_-]*:.*",
			Pattern.DOTALL);

	/** A line that may stand in an event without id and data. */
	private static final Pattern MUTE_LINE = Pattern.compile(":.*|(event|retry)(:.*)?", Pattern.DOTALL);

	private final byte[] bytes;

	private final List<String> lines;

	StreamEvent(byte[] bytes) {
		this.bytes = bytes;
		this.lines = split(bytes);
	}

	private static List<String> split(byte[] bytes) {
		List<String> lines = new ArrayList<>();
		for (String line : new String(bytes, StandardCharsets.UTF_8).split("\n", -1)) {
			String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
			if (!text.isEmpty()) {
				lines.add(text);
			}
		}
		return List.copyOf(lines);
	}

	/**
	 * Returns the event as it was received.
	 * @return the bytes, which must not be changed
	 */
	public byte[] bytes() {
		return this.bytes;
	}

	/**
	 * Returns the lines.
	 * @return the lines without their ends and without the empty line
	 */
	public List<String> lines() {
		return this.lines;
	}

	/**
	 * Returns the id.
	 * @return the number of the last id line, or empty if it has none or is no number
	 */
	public OptionalLong id() {
		OptionalLong id = OptionalLong.empty();
		for (String line : this.lines) {
			if (line.startsWith(ID)) {
				id = parse(valueOf(line));
			}
		}
		return id;
	}

	/**
	 * Returns the data.
	 * @return the values of the data lines in order
	 */
	public List<String> data() {
		return this.lines.stream().filter((line) -> line.startsWith(DATA)).map(StreamEvent::valueOf).toList();
	}

	/**
	 * Returns whether the event carries nothing that a caller can miss.
	 * @return true if it has neither id nor data, only comments and settings
	 */
	public boolean isMute() {
		return this.lines.stream().allMatch((line) -> MUTE_LINE.matcher(line).matches());
	}

	/**
	 * Returns whether all lines are those of an event stream.
	 * @return false if there is another line, such as a status line or an error's text
	 */
	public boolean isWellFormed() {
		return this.lines.stream().allMatch((line) -> LINE.matcher(line).matches());
	}

	private static String valueOf(String line) {
		String value = line.substring(line.indexOf(':') + 1);
		return value.startsWith(" ") ? value.substring(1) : value;
	}

	private static OptionalLong parse(String number) {
		return number.matches("\\d{1,18}") ? OptionalLong.of(Long.parseLong(number)) : OptionalLong.empty();
	}

}
