package org.zinniatack.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetDirectory;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Maintains the directory of targets and feeds it to subscribers. Every entry subscribes
 * to every control process, and the control processes subscribe to each other, so an
 * announcement reaches each subscriber in one hop and without consensus.
 */
public final class DirectoryFeeds {

	/**
	 * The interval at which subscribers receive the ids of live targets, in milliseconds.
	 */
	static final long FEED_INTERVAL_MS = 500;

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Four times the longest announcement interval in use. */
	private static final long SILENCE_LIMIT_MS = 5_000;

	/** Announcements that a target sent before it left arrive within this time. */
	private static final long EVICTION_MS = 120_000;

	private final Supplier<List<String>> controlAddresses;

	private final TargetDirectory directory = new TargetDirectory(SILENCE_LIMIT_MS, EVICTION_MS);

	private final Set<Peer> subscribers = new HashSet<>();

	private @Nullable RoutingTable table;

	private long lastSentMs = nowMs();

	/** The names that operators use for control processes, by address. */
	private final Map<String, String> namesByAddress = new TreeMap<>();

	DirectoryFeeds(Supplier<List<String>> controlAddresses, String ownAddress, String ownName) {
		this.controlAddresses = controlAddresses;
		this.namesByAddress.put(ownAddress, ownName);
	}

	private static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Merges an announcement of a target and forwards a change to the subscribers before
	 * it returns.
	 * @param notice the announcement
	 */
	public synchronized void announce(TargetNotice notice) {
		if (this.directory.merge(notice, nowMs())) {
			TargetNotice merged = this.directory.notice(notice.id()).orElse(notice);
			LOGGER.atInfo()
				.log("event=target_changed target=%s state=%s pool=%s address=%s sequence=%d versions=%s", merged.id(),
						merged.state(), merged.pool(), merged.address(), merged.sequence(), merged.weightVersions());
			sendToSubscribers(List.of(merged));
		}
	}

	/**
	 * Returns the newest notice of a target.
	 * @param targetId the id of the target
	 * @return the notice, or null if the target is unknown
	 */
	public synchronized @Nullable TargetNotice notice(String targetId) {
		return this.directory.notice(targetId).orElse(null);
	}

	/**
	 * Returns the targets that accept requests of a pool.
	 * @param pool the name of the pool
	 * @return their newest notices
	 */
	public synchronized List<TargetNotice> readyTargets(String pool) {
		return this.directory.ready(pool, nowMs());
	}

	/** Returns the address of the control process with an operators' name. */
	synchronized Optional<String> addressOf(String name) {
		return this.namesByAddress.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(name))
			.map(Map.Entry::getKey)
			.findFirst();
	}

	synchronized void onSubscribe(Peer peer) {
		if (this.subscribers.add(peer)) {
			send(peer, null, this.directory.notices(), List.of());
		}
	}

	/**
	 * Sends the routing table to a subscriber that requests it. All control processes
	 * notify a subscriber of a new table, but it requests the table from only one, since
	 * tables may be large.
	 */
	synchronized void onTableRequest(Peer peer, Message.TableRequest request) {
		RoutingTable newest = this.table;
		if (newest != null && newest.number() > request.heldNumber()) {
			send(peer, newest, List.of(), List.of());
		}
	}

	synchronized void onClosed(Peer peer) {
		this.subscribers.remove(peer);
	}

	/** Merges the feed of another control process. */
	synchronized void onFeed(Message.SystemFeed feed) {
		List<TargetNotice> changed = new ArrayList<>();
		for (TargetNotice notice : feed.targets()) {
			if (this.directory.merge(notice, nowMs())) {
				this.directory.notice(notice.id()).ifPresent(changed::add);
			}
		}
		this.directory.recordHeard(feed.heardTargetIds(), nowMs());
		this.namesByAddress.putAll(feed.namesByAddress());
		if (!changed.isEmpty()) {
			sendToSubscribers(changed);
		}
	}

	synchronized void updateTable(RoutingTable newest) {
		if (this.table == null || newest.number() > this.table.number()) {
			this.table = newest;
			LOGGER.atInfo().log("event=table_in_force number=%d routes=%d", newest.number(), newest.routes().size());
			sendToSubscribers(List.of());
		}
	}

	/** Subscribes to the feed of another control process. */
	void subscribeTo(Peer peer) {
		peer.send(new Message.Subscribe());
	}

	/**
	 * Sends the ids of the targets heard since the last call and evicts silent targets.
	 */
	synchronized void sendHeardTargets() {
		long nowMs = nowMs();
		List<String> heardIds = this.directory.heardSince(this.lastSentMs);
		this.lastSentMs = nowMs;
		this.directory.evictSilent(nowMs);
		this.subscribers.forEach((peer) -> send(peer, null, List.of(), heardIds));
	}

	private void sendToSubscribers(List<TargetNotice> changed) {
		this.subscribers.forEach((peer) -> send(peer, null, changed, List.of()));
	}

	private void send(Peer peer, @Nullable RoutingTable requestedTable, List<TargetNotice> changed,
			List<String> heardIds) {
		RoutingTable newest = this.table;
		peer.send(new Message.SystemFeed(this.controlAddresses.get(), Map.copyOf(this.namesByAddress),
				(newest != null) ? newest.number() : 0, requestedTable, changed, heardIds));
	}

}
