package org.zinniatack.entry;

import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import org.zinniatack.wire.ExchangeListener;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerIdentity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests how an entry derives the free slots of a target from its load reports. New
 * weights empty the caches of a target, so it gets fewer requests for a while.
 */
class TargetLinkTests {

	private static final int SLOTS = 8;

	private long nowMs;

	private final TargetLink target = new TargetLink(new OpenPeer(),
			new Message.Announce("engine-1", "1", "draft", "a", SLOTS), () -> this.nowMs);

	private void report(long weightVersion) {
		this.target.updateLoad(new Message.Load(0, weightVersion, false, true, 0, 0));
	}

	@Test
	void theFirstReportOfATargetLeavesItAllItsSlots() {
		report(7);
		assertThat(this.target.freeSlots(), is(SLOTS));
	}

	@Test
	void newWeightsTakeHalfOfTheSlotsForAWhile() {
		report(7);
		report(8);
		assertThat(this.target.freeSlots(), is(SLOTS / 2));
		this.nowMs += 3_000;
		assertThat(this.target.freeSlots(), is(SLOTS));
	}

	private static final class OpenPeer implements Peer {

		@Override
		public CompletableFuture<Message> call(Message request, long timeoutMs) {
			return new CompletableFuture<>();
		}

		@Override
		public void close() {
		}

		@Override
		public PeerIdentity identity() {
			throw new UnsupportedOperationException();
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
		public void whenClosed(Runnable action) {
		}

		@Override
		public void send(Message notice) {
		}

	}

}
