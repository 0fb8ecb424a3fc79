package org.zinniatack.direct.gateway;

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
 * Asks one of the control processes that announce a new routing table for it, and another
 * if it does not come. Tables may be large, so that each process that sent its own to all
 * entries would fill their links and stand still meanwhile. All methods must be called on
 * the event loop.
 */
final class TableRequests {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/**
	 * The announcements of all control processes arrive within it, and the entries divide
	 * among those.
	 */
	static final int SPREAD_MS = 50;

	/** Several times what a table of thousands of routes takes. */
	static final long ANSWER_TIMEOUT_MS = 400;

	private final EventLoop loop;

	private final LongSupplier heldNumber;

	private final IntUnaryOperator random;

	private final Map<Peer, Long> announcedByPeer = new LinkedHashMap<>();

	/** Who was asked since the last table came. */
	private final Set<Peer> asked = new HashSet<>();

	private long numberBefore;

	private @Nullable Future<?> planned;

	/**
	 * Returns the requests of an entry that holds no table.
	 * @param loop the event loop
	 * @param heldNumber returns the number of the table that is held, 0 for none
	 * @param random returns a number from 0 to below its argument
	 */
	TableRequests(EventLoop loop, LongSupplier heldNumber, IntUnaryOperator random) {
		this.loop = loop;
		this.heldNumber = heldNumber;
		this.random = random;
	}

	/** Notes the number of the table that a control process holds. */
	void recordAnnouncement(Peer peer, long number) {
		this.announcedByPeer.put(peer, number);
		long held = this.heldNumber.getAsLong();
		if (held != this.numberBefore) {
			this.numberBefore = held;
			this.asked.clear();
			cancel();
		}
		if (newest() > held && this.planned == null) {
			plan((held == 0) ? 0 : this.random.applyAsInt(SPREAD_MS));
		}
	}

	/** Forgets a control process whose connection has closed. */
	void removePeer(Peer peer) {
		this.announcedByPeer.remove(peer);
		this.asked.remove(peer);
	}

	private void plan(long delayMs) {
		this.planned = this.loop.schedule(this::ask, delayMs, TimeUnit.MILLISECONDS);
	}

	private void cancel() {
		if (this.planned != null) {
			this.planned.cancel(false);
			this.planned = null;
		}
	}

	private void ask() {
		this.planned = null;
		long held = this.heldNumber.getAsLong();
		List<Peer> holders = holders(held);
		if (holders.isEmpty()) {
			this.asked.clear();
			holders = holders(held);
		}
		if (!holders.isEmpty()) {
			Peer chosen = holders.get(this.random.applyAsInt(holders.size()));
			this.asked.add(chosen);
			LOGGER.atInfo()
				.log("event=table_requested held=%d announced=%d control=%s asked_before=%d", held, newest(),
						chosen.identity().nodeId(), this.asked.size() - 1);
			chosen.send(new Message.TableRequest(held));
			plan(ANSWER_TIMEOUT_MS);
		}
	}

	private long newest() {
		return this.announcedByPeer.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	/** Returns who holds the newest table and was not asked yet. */
	private List<Peer> holders(long held) {
		long newest = newest();
		return this.announcedByPeer.entrySet()
			.stream()
			.filter((entry) -> newest > held && entry.getValue() == newest && !this.asked.contains(entry.getKey()))
			.map(Map.Entry::getKey)
			.toList();
	}

}
