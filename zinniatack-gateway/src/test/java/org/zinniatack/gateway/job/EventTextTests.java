package org.zinniatack.gateway.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link EventText}.
 */
class EventTextTests {

	private final EventText text = new EventText((line) -> line.startsWith("v:")
			? OptionalLong.of(Long.parseLong(line.substring(2))) : OptionalLong.empty());

	private void read(String stream) {
		this.text.read(Unpooled.copiedBuffer(stream, StandardCharsets.UTF_8));
	}

	@Test
	void eventsAreJoinedHoweverTheyAreCut() {
		String stream = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
		for (int cut = 0; cut < stream.length(); cut++) {
			EventText cutText = new EventText((line) -> OptionalLong.empty());
			cutText.beginStream(3, "");
			cutText.read(Unpooled.copiedBuffer(stream.substring(0, cut), StandardCharsets.UTF_8));
			cutText.read(Unpooled.copiedBuffer(stream.substring(cut), StandardCharsets.UTF_8));
			assertThat(cutText.text(), is("one\ntwo"));
			assertThat(cutText.versions(), is(List.of(3L)));
			assertThat(cutText.endStream(false), is(true));
		}
	}

	@Test
	void aSecondStreamGoesOnAfterTheLastWholeEvent() {
		this.text.beginStream(1, "");
		read("id: 1\ndata: one\n\nid: 2\ndata: tw");
		assertThat(this.text.endStream(false), is(false));
		assertThat(this.text.lastEventId(), is(1L));
		this.text.beginStream(2, "");
		read("id: 2\ndata: two\n\n");
		assertThat(this.text.text(), is("one\ntwo"));
		assertThat(this.text.versions(), is(List.of(1L, 2L)));
	}

	@Test
	void aVersionThatChangesMidwayIsStatedByItsEvent() {
		this.text.beginStream(4, "");
		read("id: 1\ndata: a\n\nv:5\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
		assertThat(this.text.versions(), is(List.of(4L, 5L)));
	}

	@Test
	void aVersionOfAnEventThatWasCutDoesNotCount() {
		this.text.beginStream(4, "");
		read("id: 1\ndata: a\n\nv:5\nid: 2\nda");
		assertThat(this.text.versions(), is(List.of(4L)));
	}

	// A cut behind the first line of an event made an item complete without that event.
	@Test
	void anOutputIsCompleteOnlyAtTheEndOfAnEvent() {
		String stream = "id: 1\ndata: a\n\nv:5\nid: 2\ndata: b\n\n";
		int firstEnd = stream.indexOf("v:");
		for (int cut = 0; cut < stream.length(); cut++) {
			this.text.reset();
			this.text.beginStream(4, "");
			read(stream.substring(0, cut));
			assertThat(this.text.endStream(true), is(cut == firstEnd));
		}
	}

	@Test
	void anEmptyStreamEndsAnOutputOnlyIfItIsFramedAndNoEventWasBegun() {
		this.text.beginStream(4, "");
		read("id: 1\ndata: a\n\n");
		assertThat(emptyStreamEnds(false), is(false));
		assertThat(emptyStreamEnds(true), is(true));
		this.text.beginStream(4, "");
		read("v:");
		assertThat(this.text.endStream(true), is(false));
		assertThat(emptyStreamEnds(true), is(false));
	}

	@Test
	void anOutputThatTwoStreamsContinueWithNothingIsStuckUntilItsNextEvent() {
		this.text.beginStream(4, "");
		read("id: 1\ndata: a\n\n");
		emptyStreamEnds(false);
		assertThat(this.text.isStuck(), is(false));
		emptyStreamEnds(false);
		assertThat(this.text.isStuck(), is(true));
		this.text.beginStream(4, "");
		read("id: 2\ndata: b\n\n");
		assertThat(this.text.isStuck(), is(false));
	}

	private boolean emptyStreamEnds(boolean framed) {
		this.text.beginStream(4, "");
		return this.text.endStream(framed);
	}

	@Test
	void aMissingOrRepeatedEventIsNoticed() {
		this.text.beginStream(1, "");
		read("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
		assertThat(this.text.isInvalid(), is(true));
		this.text.reset();
		this.text.beginStream(1, "");
		read("id: 1\ndata: a\n\nid: 1\ndata: a\n\n");
		assertThat(this.text.isInvalid(), is(true));
	}

	@Test
	void anOutputThatBeginsInItsMiddleIsOutOfOrder() {
		this.text.beginStream(1, "");
		read("id: 90\ndata: last\n\n");
		assertThat(this.text.isInvalid(), is(true));
	}

}
