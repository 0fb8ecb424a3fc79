package org.zinniatack.direct.gateway;

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
 * Tests of {@link TableRequests}. The pattern: the table grows by two thousand routes and
 * then changes once a second, with many entries at several control processes.
 */
class TableRequestsTests {

	private static final int CONTROL_COUNT = 7;

	private final MockTicker ticker = Ticker.newMockTicker();

	private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(this.ticker).build();

	private final List<ScriptedPeer> control = new ArrayList<>();

	private final Random random = new Random(5);

	private long held = 1;

	private final TableRequests requests = requests();

	TableRequestsTests() {
		for (int number = 0; number < CONTROL_COUNT; number++) {
			this.control.add(new ScriptedPeer());
		}
	}

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	private TableRequests requests() {
		return new TableRequests(this.channel.eventLoop(), () -> this.held, this.random::nextInt);
	}

	private void passMs(long ms) {
		this.ticker.advance(ms, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private int requestCount() {
		return this.control.stream().mapToInt((peer) -> peer.requests.size()).sum();
	}

	@Test
	void aTableThatAllAnnounceIsAskedForOnce() {
		this.control.forEach((peer) -> this.requests.recordAnnouncement(peer, 2));
		assertThat(requestCount(), is(0));
		passMs(TableRequests.SPREAD_MS);
		assertThat(requestCount(), is(1));
		this.held = 2;
		this.control.forEach((peer) -> this.requests.recordAnnouncement(peer, 2));
		passMs(10 * TableRequests.ANSWER_TIMEOUT_MS);
		assertThat(requestCount(), is(1));
	}

	@Test
	void entriesDivideAmongTheControlProcesses() {
		for (int entry = 0; entry < 200; entry++) {
			TableRequests ofEntry = requests();
			this.control.forEach((peer) -> ofEntry.recordAnnouncement(peer, 2));
		}
		passMs(TableRequests.SPREAD_MS);
		List<Integer> counts = this.control.stream().map((peer) -> peer.requests.size()).toList();
		assertThat(requestCount(), is(200));
		assertThat(counts, everyItem(greaterThan(0)));
		assertThat(counts, everyItem(lessThan(2 * 200 / CONTROL_COUNT)));
	}

	@Test
	void aControlProcessThatDoesNotAnswerIsFollowedByAnother() {
		this.control.forEach((peer) -> this.requests.recordAnnouncement(peer, 2));
		passMs(TableRequests.SPREAD_MS);
		for (int asked = 2; asked <= CONTROL_COUNT; asked++) {
			passMs(TableRequests.ANSWER_TIMEOUT_MS);
			assertThat(requestCount(), is(asked));
		}
		assertThat(this.control.stream().map((peer) -> peer.requests.size()).toList(), everyItem(is(1)));
	}

	@Test
	void onlyWhoHoldsTheNewestTableIsAsked() {
		this.requests.recordAnnouncement(this.control.get(0), 3);
		this.requests.recordAnnouncement(this.control.get(1), 2);
		this.requests.recordAnnouncement(this.control.get(2), 1);
		passMs(TableRequests.SPREAD_MS);
		assertThat(this.control.get(0).requests, is(List.of(new Message.TableRequest(1))));
		assertThat(requestCount(), is(1));
	}

	@Test
	void aTableThatIsOvertakenOnItsWayIsFollowedByTheNext() {
		this.requests.recordAnnouncement(this.control.get(0), 2);
		passMs(TableRequests.SPREAD_MS);
		this.requests.recordAnnouncement(this.control.get(1), 3);
		this.held = 2;
		this.requests.recordAnnouncement(this.control.get(0), 2);
		passMs(TableRequests.SPREAD_MS);
		assertThat(this.control.get(1).requests, is(List.of(new Message.TableRequest(2))));
	}

	@Test
	void anEntryWithoutATableDoesNotWait() {
		this.held = 0;
		this.requests.recordAnnouncement(this.control.get(0), 2);
		passMs(0);
		assertThat(requestCount(), is(1));
	}

	@Test
	void aControlProcessThatWasLostIsNotAsked() {
		this.requests.recordAnnouncement(this.control.get(0), 2);
		this.requests.removePeer(this.control.get(0));
		passMs(TableRequests.SPREAD_MS);
		assertThat(requestCount(), is(0));
	}

	/** Notes what it is asked for. */
	private static final class ScriptedPeer implements Peer {

		private final List<Message> requests = new ArrayList<>();

		@Override
		public CompletableFuture<Message> call(Message request, long timeoutMs) {
			throw new IllegalStateException("no calls here");
		}

		@Override
		public void close() {
			// Nothing is open.
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
			// It stays open.
		}

	}

}
