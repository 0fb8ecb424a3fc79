package org.zinniatack.gateway.service;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Requests a newly announced routing table from one of the control processes that hold
 * it, and from another one if no table arrives in time. Control processes do not push
 * tables, since a large table sent by each of them to all entries would saturate the
 * network links and block the senders. All methods must be called on the event loop.
 */
final class TableRequests {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/**
	 * The upper bound of the random delay before a request. All control processes
	 * announce a table within this time, so that the entries spread their requests over
	 * them.
	 */
	static final int MAXIMUM_DELAY_MS = 50;

	/** Several times the transfer time of a table with thousands of routes. */
	static final long ANSWER_TIMEOUT_MS = 400;

	private final EventLoop loop;

	private final LongSupplier heldNumber;

	private final IntUnaryOperator random;

	private final Map<Peer, Long> announcedNumberByPeer = new LinkedHashMap<>();

	/** The peers that were sent a request since the last table arrived. */
	private final Set<Peer> requestedPeers = new HashSet<>();

	private long lastSeenNumber;

	private @Nullable Future<?> scheduled;

	/**
	 * Creates the requests of one entry.
	 * @param loop the event loop
	 * @param heldNumber returns the number of the current table, or 0 if there is none
	 * @param random returns a random number from 0 (inclusive) to its argument
	 * (exclusive)
	 */
	TableRequests(EventLoop loop, LongSupplier heldNumber, IntUnaryOperator random) {
		this.loop = loop;
		this.heldNumber = heldNumber;
		this.random = random;
	}

	/** Records the number of the table that a control process holds. */
	void recordAnnouncement(Peer peer, long number) {
		this.announcedNumberByPeer.put(peer, number);
		long held = this.heldNumber.getAsLong();
		if (held != this.lastSeenNumber) {
			this.lastSeenNumber = held;
			this.requestedPeers.clear();
			cancel();
		}
		if (newestNumber() > held && this.scheduled == null) {
			scheduleRequest((held == 0) ? 0 : this.random.applyAsInt(MAXIMUM_DELAY_MS));
		}
	}

	/** Removes a control process whose connection has closed. */
	void removePeer(Peer peer) {
		this.announcedNumberByPeer.remove(peer);
		this.requestedPeers.remove(peer);
	}

	private void scheduleRequest(long delayMs) {
		this.scheduled = this.loop.schedule(this::sendRequest, delayMs, TimeUnit.MILLISECONDS);
	}

	private void cancel() {
		if (this.scheduled != null) {
			this.scheduled.cancel(false);
			this.scheduled = null;
		}
	}

	private void sendRequest() {
		this.scheduled = null;
		long held = this.heldNumber.getAsLong();
		List<Peer> candidates = candidates(held);
		if (candidates.isEmpty()) {
			this.requestedPeers.clear();
			candidates = candidates(held);
		}
		if (!candidates.isEmpty()) {
			Peer chosen = candidates.get(this.random.applyAsInt(candidates.size()));
			this.requestedPeers.add(chosen);
			LOGGER.atInfo()
				.log("event=table_requested held=%d announced=%d control=%s asked_before=%d", held, newestNumber(),
						chosen.identity().nodeId(), this.requestedPeers.size() - 1);
			chosen.send(new Message.TableRequest(held));
			scheduleRequest(ANSWER_TIMEOUT_MS);
		}
	}

	private long newestNumber() {
		return this.announcedNumberByPeer.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	/** Returns the peers that hold the newest table and were not sent a request yet. */
	private List<Peer> candidates(long held) {
		long newestNumber = newestNumber();
		return this.announcedNumberByPeer.entrySet()
			.stream()
			.filter((entry) -> newestNumber > held && entry.getValue() == newestNumber
					&& !this.requestedPeers.contains(entry.getKey()))
			.map(Map.Entry::getKey)
			.toList();
	}

}
