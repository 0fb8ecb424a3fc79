package org.zinniatack.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.wire.ExchangeListener;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerIdentity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests when an agent reports the usage that it holds for entries.
 */
class HeldUsageTests {

	private final HeldUsage held = new HeldUsage("agent", 100);

	@Test
	void useOfAnEntryIsReportedAlsoAfterOneOfTwoConnectionsToItClosed() {
		FakePeer first = new FakePeer("entry-1");
		FakePeer second = new FakePeer("entry-1");
		FakePeer other = new FakePeer("entry-2");
		this.held.connected(first, "source");
		this.held.connected(second, "source");
		this.held.note(new Message.UsageNote("source", 1, 0, new UsageFigure("a", "r", 1, 10, false)));
		this.held.disconnected(first, 0);
		this.held.reportDuePart(Optional.of(other), 1_000);
		assertThat("reported while connected", other.calls.size(), is(0));
		this.held.note(new Message.UsageNote("source", 1, 0, new UsageFigure("a", "r", 1, 10, false)));
		this.held.disconnected(second, 1_000);
		this.held.reportDuePart(Optional.of(other), 2_000);
		assertThat("reported once lost", other.calls.size(), is(1));
	}

	/** A connection that records requests and never answers them. */
	private static final class FakePeer implements Peer {

		private final String nodeId;

		private final List<Message> calls = new ArrayList<>();

		FakePeer(String nodeId) {
			this.nodeId = nodeId;
		}

		@Override
		public CompletableFuture<Message> call(Message request, long timeoutMs) {
			this.calls.add(request);
			return new CompletableFuture<>();
		}

		@Override
		public void close() {
		}

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity("entry", this.nodeId);
		}

		@Override
		public boolean isOpen() {
			return true;
		}

		@Override
		public Runnable openExchange(Message request, ExchangeListener listener) {
			return () -> {
			};
		}

		@Override
		public void send(Message notice) {
		}

		@Override
		public void whenClosed(Runnable action) {
		}

	}

}
