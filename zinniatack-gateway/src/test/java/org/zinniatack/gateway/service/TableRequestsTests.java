package org.zinniatack.gateway.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.wire.ExchangeListener;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerIdentity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link TableRequests}. The guarded case: many entries are connected to several
 * control processes while the table grows by two thousand routes and then changes once a
 * second.
 */
class TableRequestsTests {

	private static final int CONTROL_PROCESS_COUNT = 7;

	private final MockTicker ticker = Ticker.newMockTicker();

	private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(this.ticker).build();

	private final List<ScriptedPeer> controlPeers = new ArrayList<>();

	private final Random random = new Random(5);

	private long heldNumber = 1;

	private final TableRequests requests = newTableRequests();

	TableRequestsTests() {
		for (int number = 0; number < CONTROL_PROCESS_COUNT; number++) {
			this.controlPeers.add(new ScriptedPeer());
		}
	}

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	private TableRequests newTableRequests() {
		return new TableRequests(this.channel.eventLoop(), () -> this.heldNumber, this.random::nextInt);
	}

	private void advanceMs(long ms) {
		this.ticker.advance(ms, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private int requestCount() {
		return this.controlPeers.stream().mapToInt((peer) -> peer.requests.size()).sum();
	}

	@Test
	void aTableThatAllAnnounceIsAskedForOnce() {
		this.controlPeers.forEach((peer) -> this.requests.recordAnnouncement(peer, 2));
		assertThat(requestCount(), is(0));
		advanceMs(TableRequests.MAXIMUM_DELAY_MS);
		assertThat(requestCount(), is(1));
		this.heldNumber = 2;
		this.controlPeers.forEach((peer) -> this.requests.recordAnnouncement(peer, 2));
		advanceMs(10 * TableRequests.ANSWER_TIMEOUT_MS);
		assertThat(requestCount(), is(1));
	}

	@Test
	void entriesDivideAmongTheControlProcesses() {
		for (int entry = 0; entry < 200; entry++) {
			TableRequests entryRequests = newTableRequests();
			this.controlPeers.forEach((peer) -> entryRequests.recordAnnouncement(peer, 2));
		}
		advanceMs(TableRequests.MAXIMUM_DELAY_MS);
		List<Integer> counts = this.controlPeers.stream().map((peer) -> peer.requests.size()).toList();
		assertThat(requestCount(), is(200));
		assertThat(counts, everyItem(greaterThan(0)));
		assertThat(counts, everyItem(lessThan(2 * 200 / CONTROL_PROCESS_COUNT)));
	}

	@Test
	void aControlProcessThatDoesNotAnswerIsFollowedByAnother() {
		this.controlPeers.forEach((peer) -> this.requests.recordAnnouncement(peer, 2));
		advanceMs(TableRequests.MAXIMUM_DELAY_MS);
		for (int expectedCount = 2; expectedCount <= CONTROL_PROCESS_COUNT; expectedCount++) {
			advanceMs(TableRequests.ANSWER_TIMEOUT_MS);
			assertThat(requestCount(), is(expectedCount));
		}
		assertThat(this.controlPeers.stream().map((peer) -> peer.requests.size()).toList(), everyItem(is(1)));
	}

	@Test
	void onlyWhoHoldsTheNewestTableIsAsked() {
		this.requests.recordAnnouncement(this.controlPeers.get(0), 3);
		this.requests.recordAnnouncement(this.controlPeers.get(1), 2);
		this.requests.recordAnnouncement(this.controlPeers.get(2), 1);
		advanceMs(TableRequests.MAXIMUM_DELAY_MS);
		assertThat(this.controlPeers.get(0).requests, is(List.of(new Message.TableRequest(1))));
		assertThat(requestCount(), is(1));
	}

	@Test
	void aTableThatIsOvertakenOnItsWayIsFollowedByTheNext() {
		this.requests.recordAnnouncement(this.controlPeers.get(0), 2);
		advanceMs(TableRequests.MAXIMUM_DELAY_MS);
		this.requests.recordAnnouncement(this.controlPeers.get(1), 3);
		this.heldNumber = 2;
		this.requests.recordAnnouncement(this.controlPeers.get(0), 2);
		advanceMs(TableRequests.MAXIMUM_DELAY_MS);
		assertThat(this.controlPeers.get(1).requests, is(List.of(new Message.TableRequest(2))));
	}

	@Test
	void anEntryWithoutATableDoesNotWait() {
		this.heldNumber = 0;
		this.requests.recordAnnouncement(this.controlPeers.get(0), 2);
		advanceMs(0);
		assertThat(requestCount(), is(1));
	}

	@Test
	void aControlProcessThatWasLostIsNotAsked() {
		this.requests.recordAnnouncement(this.controlPeers.get(0), 2);
		this.requests.removePeer(this.controlPeers.get(0));
		advanceMs(TableRequests.MAXIMUM_DELAY_MS);
		assertThat(requestCount(), is(0));
	}

	/** Records the messages that it is sent. */
	private static final class ScriptedPeer implements Peer {

		private final List<Message> requests = new ArrayList<>();

		@Override
		public CompletableFuture<Message> call(Message request, long timeoutMs) {
			throw new IllegalStateException("no calls here");
		}

		@Override
		public void close() {
			// There is no connection to close.
		}

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity("control", "c");
		}

		@Override
		public boolean isOpen() {
			return true;
		}

		@Override
		public Runnable openExchange(Message request, ExchangeListener listener) {
			throw new IllegalStateException("no exchanges here");
		}

		@Override
		public void send(Message notice) {
			this.requests.add(notice);
		}

		@Override
		public void whenClosed(Runnable action) {
			// The connection stays open.
		}

	}

}
