package org.zinniatack.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.zinniatack.core.presence.TableChanges;
import org.zinniatack.core.presence.TableCopy;
import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.presence.VersionedTable;
import org.zinniatack.wire.Message;

/**
 * The entries and targets that are there: those that report to this replica and, on the
 * leader, those that other replicas pass on. What is passed on are changes only.
 */
final class Presence {

	private static final long MEMORY_MS = 3_000;

	private final VersionedTable<Message.EntryState> ownEntries;

	private final VersionedTable<Message.TargetState> ownTargets;

	private final Map<String, Direct> directs = new HashMap<>();

	private final Map<String, Remote> remotes = new HashMap<>();

	Presence(String incarnation) {
		this.ownEntries = VersionedTable.of(incarnation);
		this.ownTargets = VersionedTable.of(incarnation);
	}

	/** Takes over what an entry that is connected to this replica reports. */
	synchronized void report(Message.EntryReport report, long nowMs) {
		Direct direct = this.directs.computeIfAbsent(report.nodeId(), (absent) -> new Direct());
		direct.pools = report.pools();
		direct.targets.apply(report.targets());
		Collection<Message.TargetState> held = direct.targets.rows();
		long agentRevision = held.stream().mapToLong(Message.TargetState::revision).min().orElse(report.revision());
		direct.state = new Message.EntryState(report.nodeId(), report.address(), report.revision(), held.size(),
				agentRevision);
		direct.atMs = nowMs;
	}

	/** Returns how far the copy of an entry's targets has come. */
	synchronized TableVersion knownTargets(String nodeId) {
		Direct direct = this.directs.get(nodeId);
		return (direct != null) ? direct.targets.version() : TableVersion.NONE;
	}

	/** Returns those of the directives that are for targets of an entry. */
	synchronized Map<String, Message.TargetDirective> directivesOf(String nodeId,
			Map<String, Message.TargetDirective> all) {
		Direct direct = this.directs.get(nodeId);
		return (direct != null) ? chosen(all, direct.targets.keys()) : Map.of();
	}

	private static Map<String, Message.TargetDirective> chosen(Map<String, Message.TargetDirective> all,
			Collection<String> targetIds) {
		Map<String, Message.TargetDirective> chosen = new HashMap<>();
		targetIds.stream().filter(all::containsKey).forEach((id) -> chosen.put(id, all.get(id)));
		return chosen;
	}

	/** Returns what the leader lacks of the entries of this replica. */
	synchronized Message.PresenceReport passOn(String replicaId, Message.Roster known, long nowMs) {
		forget(nowMs);
		this.directs.forEach((id, direct) -> this.ownEntries.put(id, direct.state));
		this.ownEntries.retain(this.directs.keySet());
		Map<String, Message.TargetState> targets = ownTargets();
		targets.forEach((id, target) -> this.ownTargets.put(id, target.withoutRevision()));
		this.ownTargets.retain(targets.keySet());
		return new Message.PresenceReport(replicaId, known.rosterHash(), ownPools(),
				this.ownEntries.changesAfter(known.knownEntries()), this.ownTargets.changesAfter(known.knownTargets()));
	}

	/** Takes over what another replica passes on. */
	synchronized void receive(Message.PresenceReport report, long nowMs) {
		Remote remote = this.remotes.computeIfAbsent(report.replicaId(), (absent) -> new Remote());
		remote.entries.apply(report.entries());
		remote.targets.apply(report.targets());
		remote.pools = report.pools();
		remote.atMs = nowMs;
	}

	/** Returns what the leader tells a replica, without the roster if it knows it. */
	synchronized Message.Roster rosterFor(Message.PresenceReport report, Message.Roster roster) {
		Remote remote = this.remotes.getOrDefault(report.replicaId(), new Remote());
		boolean knowsEntries = report.rosterHash() == roster.rosterHash();
		return new Message.Roster(roster.rosterHash(), knowsEntries ? Map.of() : roster.entries(),
				chosen(roster.directives(), remote.targets.keys()), remote.entries.version(), remote.targets.version());
	}

	/** Returns all entries that are known. */
	synchronized Map<String, Message.EntryState> entries(long nowMs) {
		forget(nowMs);
		Map<String, Message.EntryState> entries = new TreeMap<>();
		this.remotes.values()
			.forEach((remote) -> remote.entries.rows().forEach((entry) -> entries.put(entry.nodeId(), entry)));
		this.directs.forEach((id, direct) -> entries.put(id, direct.state));
		return entries;
	}

	/** Returns all targets that are known. */
	synchronized Map<String, Message.TargetState> targets(long nowMs) {
		forget(nowMs);
		Map<String, Message.TargetState> targets = ownTargets();
		this.remotes.values().forEach((remote) -> remote.targets.rows().forEach((target) -> enter(targets, target)));
		return targets;
	}

	/** Returns the load of each pool over all entries. */
	synchronized List<Message.PoolLoad> pools(long nowMs) {
		forget(nowMs);
		Map<String, Message.PoolLoad> pools = new TreeMap<>();
		ownPools().forEach((pool) -> add(pools, pool));
		this.remotes.values().forEach((remote) -> remote.pools.forEach((pool) -> add(pools, pool)));
		return List.copyOf(pools.values());
	}

	/** Returns all that is known, for a replica that does not lead. */
	Message.PresenceReport whole(String replicaId, long nowMs) {
		Map<String, Message.EntryState> entries = entries(nowMs);
		return new Message.PresenceReport(replicaId, 0, pools(nowMs), wholeOf(entries), wholeOf(targets(nowMs)));
	}

	private static <V> TableChanges<V> wholeOf(Map<String, V> rows) {
		return new TableChanges<>("", true, 0, 0, rows, List.of());
	}

	private Map<String, Message.TargetState> ownTargets() {
		Map<String, Message.TargetState> targets = new TreeMap<>();
		this.directs.values().forEach((direct) -> direct.targets.rows().forEach((target) -> enter(targets, target)));
		return targets;
	}

	private static void enter(Map<String, Message.TargetState> targets, Message.TargetState target) {
		targets.merge(target.targetId(), target,
				(held, other) -> (other.weightVersion() > held.weightVersion()) ? other : held);
	}

	private List<Message.PoolLoad> ownPools() {
		Map<String, Message.PoolLoad> pools = new TreeMap<>();
		this.directs.values().forEach((direct) -> direct.pools.forEach((pool) -> add(pools, pool)));
		return List.copyOf(pools.values());
	}

	private static void add(Map<String, Message.PoolLoad> pools, Message.PoolLoad load) {
		pools.merge(load.pool(), load, (held, other) -> new Message.PoolLoad(load.pool(),
				held.queuedCount() + other.queuedCount(), held.runningCount() + other.runningCount()));
	}

	private void forget(long nowMs) {
		this.directs.values().removeIf((direct) -> nowMs - direct.atMs > MEMORY_MS);
		this.remotes.values().removeIf((remote) -> nowMs - remote.atMs > MEMORY_MS);
	}

	/** An entry that reports to this replica. */
	private static final class Direct {

		private final TableCopy<Message.TargetState> targets = new TableCopy<>();

		private Message.EntryState state = new Message.EntryState("", "", 0, 0, 0);

		private List<Message.PoolLoad> pools = List.of();

		private long atMs;

	}

	/** What another replica passes on. */
	private static final class Remote {

		private final TableCopy<Message.EntryState> entries = new TableCopy<>();

		private final TableCopy<Message.TargetState> targets = new TableCopy<>();

		private List<Message.PoolLoad> pools = List.of();

		private long atMs;

	}

}
