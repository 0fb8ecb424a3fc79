package org.zinniatack.gateway.event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link EventSplitter} and {@link StreamEvent}.
 */
class EventSplitterTests {

	private final EventSplitter splitter = new EventSplitter();

	private final List<StreamEvent> events = new ArrayList<>();

	private boolean read(String text) {
		return this.splitter.read(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8), this.events::add);
	}

	private List<String> texts() {
		return this.events.stream().map((event) -> new String(event.bytes(), StandardCharsets.UTF_8)).toList();
	}

	@Test
	void eventsAreWholeHoweverTheStreamIsCut() {
		String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\n\n";
		for (int cut = 0; cut <= stream.length(); cut++) {
			this.events.clear();
			read(stream.substring(0, cut));
			read(stream.substring(cut));
			assertThat(texts(), contains("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", ": c\n\n", "\n"));
			assertThat(this.splitter.hasPartialEvent(), is(false));
		}
	}

	@Test
	void anEventIsHeldBackUpToItsLastByte() {
		String event = "id: 1\r\ndata: a\r\n\r\n";
		for (int length = 1; length < event.length(); length++) {
			this.splitter.reset();
			read(event.substring(0, length));
			assertThat(this.events, empty());
			assertThat(this.splitter.hasPartialEvent(), is(true));
		}
	}

	@Test
	void anEventThatIsTooLongEndsTheReading() {
		assertThat(read("data: " + "x".repeat(EventSplitter.MAXIMUM_EVENT_BYTES)), is(false));
		assertThat(this.events, empty());
	}

	@Test
	void theReadingEndsWhereTheConsumerStops() {
		this.splitter.read(Unpooled.copiedBuffer("data: a\n\ndata: b\n\n", StandardCharsets.UTF_8), (event) -> {
			this.events.add(event);
			return false;
		});
		assertThat(texts(), contains("data: a\n\n"));
	}

	@Test
	void anEventHasTheIdOfItsLastIdLineAndItsDataInOrder() {
		read("id: 1\ndata: a\nid:12\ndata:b\n\nid: x\n\ndata\n\n");
		assertThat(this.events.get(0).id(), is(OptionalLong.of(12)));
		assertThat(this.events.get(0).data(), contains("a", "b"));
		assertThat(this.events.get(1).id(), is(OptionalLong.empty()));
		assertThat(this.events.get(2).data(), empty());
	}

	@Test
	void commentsAndSettingsAreMute() {
		read(": here\nretry: 3\n\n\nid: 1\n\ndata: a\n\nother: a\n\n");
		assertThat(this.events.stream().map(StreamEvent::isMute).toList(), contains(true, true, false, false, false));
	}

	// A stream was broken at a separator of lines or paragraphs inside its text.
	@Test
	void anyCharacterMayStandInData() {
		for (String character : new String[] { "\u0085", "\u2028", "\u2029", "\r", "\f", "\0" }) {
			this.events.clear();
			read("data: a" + character + "b\n: c" + character + "d\nevent: e" + character + "f\n\n");
			assertThat(this.events.get(0).isWellFormed(), is(true));
			assertThat(this.events.get(0).data(), contains("a" + character + "b"));
		}
	}

	@Test
	void aStatusLineOrATextIsNoPartOfAnEvent() {
		read("HTTP/1.1 500 Bad\r\nid: 1\r\n\r\nInternal error\n\nerror\n\nv-1: 2\nid: 1\nevent\ndata: HTTP/1.1\n\n");
		assertThat(this.events.stream().map(StreamEvent::isWellFormed).toList(), contains(false, false, false, true));
	}

}
