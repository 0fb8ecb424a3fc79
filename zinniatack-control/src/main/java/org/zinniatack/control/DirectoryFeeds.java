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
 * The targets that announced themselves to this or another control process. Every entry
 * subscribes at every control process, and the control processes subscribe at each other,
 * so an announcement is one hop from each subscriber and no process need vote on it.
 */
public final class DirectoryFeeds {

	/**
	 * The interval at which subscribers learn which targets are alive, in milliseconds.
	 */
	static final long TICK_MS = 500;

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Four announcements at the slowest interval that is in use. */
	private static final long SILENCE_LIMIT_MS = 5_000;

	/** A late announcement from before a target left arrives within this time. */
	private static final long FORGET_MS = 120_000;

	private final Supplier<List<String>> controlAddresses;

	private final TargetDirectory directory = new TargetDirectory(SILENCE_LIMIT_MS, FORGET_MS);

	private final Set<Peer> subscribers = new HashSet<>();

	private @Nullable RoutingTable table;

	private long lastTickMs = nowMs();

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
	 * Takes an announcement of a target and passes it on before it returns.
	 * @param notice the announcement
	 */
	public synchronized void announce(TargetNotice notice) {
		if (this.directory.merge(notice, nowMs())) {
			TargetNotice merged = this.directory.notice(notice.id()).orElse(notice);
			LOGGER.atInfo()
				.log("event=target_changed target=%s state=%s pool=%s address=%s sequence=%d versions=%s", merged.id(),
						merged.state(), merged.pool(), merged.address(), merged.sequence(), merged.weightVersions());
			push(List.of(merged));
		}
	}

	/**
	 * Returns the newest notice of a target.
	 * @param targetId the id of the target
	 * @return the notice, or null if it is unknown
	 */
	public synchronized @Nullable TargetNotice notice(String targetId) {
		return this.directory.notice(targetId).orElse(null);
	}

	/**
	 * Returns the targets that take requests of a pool.
	 * @param pool the pool
	 * @return their newest notices
	 */
	public synchronized List<TargetNotice> readyTargets(String pool) {
		return this.directory.ready(pool, nowMs());
	}

	/** Returns the address of the control process that operators call by a name. */
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
	 * Sends the routing table to a subscriber that asks for it. Each subscriber hears of
	 * a new one from all control processes and asks one of them, since a table may be
	 * large.
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

	/** Takes over what another control process has learned. */
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
			push(changed);
		}
	}

	synchronized void onTable(RoutingTable newest) {
		if (this.table == null || newest.number() > this.table.number()) {
			this.table = newest;
			LOGGER.atInfo().log("event=table_in_force number=%d routes=%d", newest.number(), newest.routes().size());
			push(List.of());
		}
	}

	/** Asks another control process for what it knows. */
	void subscribeTo(Peer peer) {
		peer.send(new Message.Subscribe());
	}

	synchronized void tick() {
		long nowMs = nowMs();
		List<String> heard = this.directory.heardSince(this.lastTickMs);
		this.lastTickMs = nowMs;
		this.directory.evictSilent(nowMs);
		this.subscribers.forEach((peer) -> send(peer, null, List.of(), heard));
	}

	private void push(List<TargetNotice> changed) {
		this.subscribers.forEach((peer) -> send(peer, null, changed, List.of()));
	}

	private void send(Peer peer, @Nullable RoutingTable asked, List<TargetNotice> changed, List<String> heard) {
		RoutingTable newest = this.table;
		peer.send(new Message.SystemFeed(this.controlAddresses.get(), Map.copyOf(this.namesByAddress),
				(newest != null) ? newest.number() : 0, asked, changed, heard));
	}

}
