package org.zinniatack.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.Evacuations;
import org.zinniatack.core.directory.HeardTarget;
import org.zinniatack.core.directory.LeftTarget;
import org.zinniatack.core.directory.TargetDirectory;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.stream.RecordedSoftware;
import org.zinniatack.core.stream.SoftwareSighting;
import org.zinniatack.core.table.Pool;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.wire.EncodedNotification;
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

	/** Stands for a pool that the table does not have. */
	static final Pool UNKNOWN_POOL = new Pool("", 0, 0, List.of());

	private final Supplier<List<String>> controlAddresses;

	private final LongSupplier clockMs;

	private final Executor encoder;

	private final TargetDirectory directory = new TargetDirectory(SILENCE_LIMIT_MS, EVICTION_MS);

	private final Set<Peer> subscribers = new HashSet<>();

	/** Changed under the lock only. */
	private volatile @Nullable RoutingTable table;

	/**
	 * The targets that said that they leave, also before this process started, by the key
	 * of their start.
	 */
	private Map<String, LeftTarget> left = Map.of();

	private Message.Suspects suspects = Message.Suspects.NONE;

	private RecordedSoftware software = RecordedSoftware.NONE;

	/** The log index up to which ends of jobs may be forgotten next. */
	private long forgettableEndsIndex;

	/** True if a target of a version that is not recorded was learned of. */
	private boolean unrecordedLearned;

	private @Nullable CompletableFuture<EncodedNotification> encodedTable;

	private long encodedNumber;

	private long lastSentMs;

	/** The names that operators use for control processes, by address. */
	private final Map<String, String> namesByAddress = new TreeMap<>();

	/** The failure domains of control processes, by address. */
	private volatile Map<String, String> domainsByAddress;

	private final Map<String, String> ownDomainByAddress;

	/**
	 * Creates the feeds of a process without targets and subscribers.
	 * @param controlAddresses returns the addresses of all known control processes
	 * @param ownAddress the address of this process
	 * @param ownName the operators' name of this process
	 * @param ownDomain the failure domain of this process, empty if it is unknown
	 * @param clockMs the monotonic clock, in milliseconds
	 * @param encoder encodes tables, which takes too long for a thread of the network
	 */
	DirectoryFeeds(Supplier<List<String>> controlAddresses, String ownAddress, String ownName, String ownDomain,
			LongSupplier clockMs, Executor encoder) {
		this.controlAddresses = controlAddresses;
		this.clockMs = clockMs;
		this.encoder = encoder;
		this.lastSentMs = clockMs.getAsLong();
		this.namesByAddress.put(ownAddress, ownName);
		this.ownDomainByAddress = ownDomain.isEmpty() ? Map.of() : Map.of(ownAddress, ownDomain);
		this.domainsByAddress = this.ownDomainByAddress;
	}

	private long nowMs() {
		return this.clockMs.getAsLong();
	}

	/**
	 * Merges an announcement of a target and forwards a change to the subscribers before
	 * it returns.
	 * @param notice the announcement
	 */
	public synchronized void announce(TargetNotice notice) {
		if (this.directory.merge(withDeparture(notice), nowMs())) {
			TargetNotice merged = this.directory.notice(notice.id()).orElse(notice);
			LOGGER.atInfo()
				.log("event=target_changed target=%s state=%s pool=%s address=%s sequence=%d versions=%s software=%s",
						merged.id(), merged.state(), merged.pool(), merged.address(), merged.sequence(),
						merged.weightVersions(), merged.softwareVersion());
			sendToSubscribers(List.of(merged));
		}
	}

	/** Returns the notice as that of a draining target if the target has left since. */
	private TargetNotice withDeparture(TargetNotice notice) {
		boolean revived = notice.state() == TargetNotice.State.READY && hasLeft(notice.id(), notice.bornMs());
		return revived ? notice.asDraining() : notice;
	}

	/**
	 * Returns whether it is recorded that a target leaves.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @return true if this start of it must get no requests any more
	 */
	synchronized boolean hasLeft(String targetId, long bornMs) {
		return this.left.containsKey(LeftTarget.keyOf(targetId, bornMs));
	}

	/** Marks the targets that left as draining. */
	synchronized void updateLeft(Map<String, LeftTarget> newest) {
		if (newest != this.left) {
			this.left = newest;
			this.directory.notices().forEach(this::announce);
		}
	}

	/**
	 * Records that another target answered at the address of a target.
	 * @param target the notice of the target at the time of the request
	 */
	public synchronized void recordAbsent(TargetNotice target) {
		if (this.directory.recordAbsent(target, nowMs())) {
			LOGGER.atInfo()
				.log("event=target_absent target=%s pool=%s address=%s sequence=%d", target.id(), target.pool(),
						target.address(), target.sequence());
		}
	}

	/**
	 * Records that a target said in an answer that it is cold.
	 * @param target the notice of the target at the time of the request
	 * @param remainingMs how much longer it is cold, in milliseconds
	 */
	public synchronized void recordCold(TargetNotice target, long remainingMs) {
		this.directory.recordCold(target, remainingMs, nowMs());
	}

	/**
	 * Records that a connection to a target was lost, which may have restarted.
	 * @param target the notice of the target at the time of the request
	 */
	public synchronized void recordLost(TargetNotice target) {
		this.directory.recordLost(target, nowMs());
	}

	synchronized boolean isCold(String targetId) {
		return this.directory.isCold(targetId, nowMs());
	}

	/** Returns a pool of the table, or one without a bound if the table has none. */
	Pool pool(String name) {
		RoutingTable newest = this.table;
		return (newest != null) ? newest.pools().getOrDefault(name, UNKNOWN_POOL) : UNKNOWN_POOL;
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

	/**
	 * Returns the software versions of the targets that run now.
	 * @param wallMs the time, in milliseconds since the epoch
	 */
	synchronized Set<SoftwareSighting> softwareSightings(long wallMs) {
		return this.directory.softwareSightings(nowMs(), wallMs);
	}

	/** Returns the address of the control process with an operators' name. */
	synchronized Optional<String> addressOf(String name) {
		return this.namesByAddress.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(name))
			.map(Map.Entry::getKey)
			.findFirst();
	}

	/**
	 * Returns the failure domains of the known control processes by address. It waits for
	 * no other call.
	 */
	Map<String, String> domainsByAddress() {
		return this.domainsByAddress;
	}

	/** Records the failure domains of control processes by address. */
	synchronized void addDomains(Map<String, String> added) {
		if (!this.domainsByAddress.entrySet().containsAll(added.entrySet())) {
			Map<String, String> domains = new TreeMap<>(this.domainsByAddress);
			domains.putAll(added);
			this.domainsByAddress = Map.copyOf(domains);
		}
	}

	/** Returns the failure domains of the known targets and control processes. */
	synchronized Set<String> knownDomains() {
		Set<String> domains = new HashSet<>(this.domainsByAddress.values());
		this.directory.notices().forEach((notice) -> domains.add(notice.failureDomain()));
		return domains;
	}

	/**
	 * Returns the number of evacuated failure domains.
	 * @return the number that this process knows of
	 */
	public synchronized int evacuatedDomainCount() {
		return this.directory.evacuations().domains().size();
	}

	synchronized void onSubscribe(Peer peer, Message.Subscribe subscription) {
		List<TargetNotice> left = subscription.left();
		Map<String, Long> silenceMsById = subscription.silenceMsById();
		if (left != null && silenceMsById != null) {
			sendChanges(mergeRelayed(left, silenceMsById));
		}
		if (this.subscribers.add(peer)) {
			peer.send(feed(null, this.directory.notices(), List.of(), this.suspects)
				.withFailureDomains(this.ownDomainByAddress)
				.withSoftware(this.software));
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
			encoded(newest).thenAccept(peer::send);
		}
	}

	/** Returns a feed with the table, which is encoded once for all subscribers. */
	private CompletableFuture<EncodedNotification> encoded(RoutingTable newest) {
		if (this.encodedTable == null || this.encodedNumber != newest.number()) {
			Message.SystemFeed feed = feed(newest, List.of(), List.of(), null);
			this.encodedNumber = newest.number();
			this.encodedTable = CompletableFuture.supplyAsync(() -> EncodedNotification.of(feed), this.encoder);
		}
		return this.encodedTable;
	}

	synchronized void onClosed(Peer peer) {
		this.subscribers.remove(peer);
	}

	/** Merges the feed of another control process. */
	synchronized void onFeed(Message.SystemFeed feed) {
		Map<String, Long> silenceMsById = feed.silenceMsById();
		List<TargetNotice> changed = mergeRelayed(feed.targets(), (silenceMsById != null) ? silenceMsById : Map.of());
		recordHeard(feed, this.directory, nowMs());
		this.namesByAddress.putAll(feed.namesByAddress());
		Map<String, String> domains = feed.failureDomainsByAddress();
		addDomains((domains != null) ? domains : Map.of());
		if (updateEvacuations(feed.evacuations(), this.directory, nowMs()) || !changed.isEmpty()) {
			sendToSubscribers(changed);
		}
	}

	/** Merges notices from another process and returns those that changed. */
	private List<TargetNotice> mergeRelayed(List<TargetNotice> notices, Map<String, Long> silenceMsById) {
		List<TargetNotice> changed = new ArrayList<>();
		for (TargetNotice notice : notices) {
			if (this.directory.mergeRelayed(withDeparture(notice), silenceMsById.getOrDefault(notice.id(), 0L),
					nowMs())) {
				this.directory.notice(notice.id()).ifPresent(changed::add);
			}
		}
		return changed;
	}

	/**
	 * Records in a directory what a feed says of targets that were heard.
	 * @param feed the feed
	 * @param directory the directory
	 * @param nowMs the monotonic time of the directory, in milliseconds
	 */
	public static void recordHeard(Message.SystemFeed feed, TargetDirectory directory, long nowMs) {
		List<HeardTarget> heard = feed.heardTargets();
		if (heard != null) {
			heard.forEach((target) -> directory.recordHeard(target, nowMs));
		}
		else {
			directory.recordHeard(feed.heardTargetIds(), nowMs);
		}
	}

	/**
	 * Updates a directory according to the evacuated failure domains of a feed.
	 * @param newest the failure domains, null if the sender does not tell
	 * @param directory the directory
	 * @param nowMs the monotonic time of the directory, in milliseconds
	 * @return true if other failure domains are evacuated than before
	 */
	public static boolean updateEvacuations(@Nullable Evacuations newest, TargetDirectory directory, long nowMs) {
		Set<String> before = directory.evacuations().domains();
		if (newest == null || !directory.updateEvacuations(newest, nowMs)) {
			return false;
		}
		newest.domains()
			.stream()
			.filter((domain) -> !before.contains(domain))
			.forEach((domain) -> LOGGER.atInfo()
				.log("event=evacuation_in_force domain=%s index=%d", domain, newest.index()));
		before.stream()
			.filter((domain) -> !newest.domains().contains(domain))
			.forEach((domain) -> LOGGER.atInfo()
				.log("event=evacuation_over domain=%s index=%d", domain, newest.index()));
		return true;
	}

	/** Sends the evacuated failure domains to the subscribers if they changed. */
	synchronized void updateEvacuations(Evacuations newest) {
		if (updateEvacuations(newest, this.directory, nowMs())) {
			sendToSubscribers(List.of());
		}
	}

	synchronized void updateTable(RoutingTable newest) {
		if (this.table == null || newest.number() > this.table.number()) {
			this.table = newest;
			this.directory.setColdStarts(newest.coldStartMsByPool());
			LOGGER.atInfo().log("event=table_in_force number=%d routes=%d", newest.number(), newest.routes().size());
			sendToSubscribers(List.of());
		}
	}

	/** Sends the requests that may crash targets to the subscribers if they changed. */
	synchronized void updateSuspects(Message.Suspects newest) {
		boolean changed = !newest.requests().equals(this.suspects.requests());
		this.suspects = newest;
		if (changed) {
			this.subscribers.forEach((peer) -> peer.send(feed(null, List.of(), List.of(), newest)));
		}
	}

	/**
	 * Sends the recorded software versions to the subscribers if they changed, since
	 * entries begin streams at recorded versions only.
	 */
	synchronized void updateSoftware(RecordedSoftware newest) {
		if (!newest.versionsByPool().equals(this.software.versionsByPool())) {
			this.software = newest;
			LOGGER.atInfo()
				.log("event=software_recorded index=%d versions=%s", newest.index(), newest.versionsByPool());
			this.subscribers.forEach((peer) -> peer.send(feed(null, List.of(), List.of(), null).withSoftware(newest)));
		}
	}

	/** Tells the subscribers in the next feeds which ends of jobs may be forgotten. */
	synchronized void updateForgettableEnds(long index) {
		this.forgettableEndsIndex = index;
	}

	/**
	 * Returns whether a target of a software version that is not recorded was learned of
	 * since the last call.
	 */
	synchronized boolean takeUnrecordedLearned() {
		boolean learned = this.unrecordedLearned;
		this.unrecordedLearned = false;
		return learned;
	}

	/** Subscribes to the feed of another control process. */
	void subscribeTo(Peer peer) {
		peer.send(new Message.Subscribe(null, null));
	}

	/**
	 * Sends the targets of which news has arrived since the last call and evicts silent
	 * targets.
	 */
	synchronized void sendHeardTargets() {
		long nowMs = nowMs();
		List<HeardTarget> heard = this.directory.heardSince(this.lastSentMs);
		this.lastSentMs = nowMs;
		this.directory.evictSilent(nowMs);
		this.subscribers.forEach((peer) -> send(peer, List.of(), heard));
	}

	private void sendChanges(List<TargetNotice> changed) {
		if (!changed.isEmpty()) {
			sendToSubscribers(changed);
		}
	}

	private void sendToSubscribers(List<TargetNotice> changed) {
		this.unrecordedLearned |= changed.stream()
			.anyMatch((notice) -> !this.software.contains(notice.pool(), notice.softwareVersion()));
		this.subscribers.forEach((peer) -> send(peer, changed, List.of()));
	}

	private void send(Peer peer, List<TargetNotice> changed, List<HeardTarget> heard) {
		peer.send(feed(null, changed, heard, null));
	}

	private Message.SystemFeed feed(@Nullable RoutingTable requestedTable, List<TargetNotice> changed,
			List<HeardTarget> heard, Message.@Nullable Suspects changedSuspects) {
		RoutingTable newest = this.table;
		Map<String, Long> silenceMsById = new HashMap<>();
		changed.forEach((notice) -> silenceMsById.put(notice.id(), this.directory.silenceMs(notice.id(), nowMs())));
		return new Message.SystemFeed(this.controlAddresses.get(), Map.copyOf(this.namesByAddress),
				(newest != null) ? newest.number() : 0, requestedTable, changed,
				heard.stream().map(HeardTarget::id).toList(), heard, silenceMsById, changedSuspects,
				this.directory.evacuations(), null, null, this.forgettableEndsIndex);
	}

}
