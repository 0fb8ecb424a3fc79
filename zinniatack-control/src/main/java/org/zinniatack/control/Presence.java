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
 * The live entries and targets: those that report to this replica and, on the leader,
 * those that other replicas report. Replicas send the leader only changes.
 */
final class Presence {

	private static final long EXPIRY_MS = 3_000;

	private final VersionedTable<Message.EntryState> ownEntries;

	private final VersionedTable<Message.TargetState> ownTargets;

	private final Map<String, ConnectedEntry> connectedEntries = new HashMap<>();

	private final Map<String, OtherReplica> otherReplicas = new HashMap<>();

	Presence(String incarnation) {
		this.ownEntries = VersionedTable.of(incarnation);
		this.ownTargets = VersionedTable.of(incarnation);
	}

	/** Applies the report of an entry that is connected to this replica. */
	synchronized void onEntryReport(Message.EntryReport report, long nowMs) {
		ConnectedEntry connected = this.connectedEntries.computeIfAbsent(report.nodeId(),
				(absent) -> new ConnectedEntry());
		connected.pools = report.pools();
		connected.targets.apply(report.targets());
		Collection<Message.TargetState> entryTargets = connected.targets.rows();
		long agentRevision = entryTargets.stream()
			.mapToLong(Message.TargetState::revision)
			.min()
			.orElse(report.revision());
		connected.state = new Message.EntryState(report.nodeId(), report.address(), report.revision(),
				entryTargets.size(), agentRevision);
		connected.reportedAtMs = nowMs;
	}

	/** Returns the version of the copy of an entry's targets. */
	synchronized TableVersion knownTargets(String nodeId) {
		ConnectedEntry connected = this.connectedEntries.get(nodeId);
		return (connected != null) ? connected.targets.version() : TableVersion.NONE;
	}

	/** Returns the directives for the targets of an entry. */
	synchronized Map<String, Message.TargetDirective> directivesFor(String nodeId,
			Map<String, Message.TargetDirective> allDirectives) {
		ConnectedEntry connected = this.connectedEntries.get(nodeId);
		return (connected != null) ? filterByTargets(allDirectives, connected.targets.keys()) : Map.of();
	}

	private static Map<String, Message.TargetDirective> filterByTargets(
			Map<String, Message.TargetDirective> allDirectives, Collection<String> targetIds) {
		Map<String, Message.TargetDirective> selected = new HashMap<>();
		targetIds.stream().filter(allDirectives::containsKey).forEach((id) -> selected.put(id, allDirectives.get(id)));
		return selected;
	}

	/**
	 * Returns the changes of this replica's entries and targets that the leader's copy is
	 * missing.
	 */
	synchronized Message.PresenceReport createReport(String replicaId, Message.Roster lastRoster, long nowMs) {
		removeExpired(nowMs);
		this.connectedEntries.forEach((id, connected) -> this.ownEntries.put(id, connected.state));
		this.ownEntries.retain(this.connectedEntries.keySet());
		Map<String, Message.TargetState> targets = ownTargets();
		targets.forEach((id, target) -> this.ownTargets.put(id, target.withoutRevision()));
		this.ownTargets.retain(targets.keySet());
		return new Message.PresenceReport(replicaId, lastRoster.rosterHash(), ownPools(),
				this.ownEntries.changesAfter(lastRoster.knownEntries()),
				this.ownTargets.changesAfter(lastRoster.knownTargets()));
	}

	/** Applies the report of another replica. */
	synchronized void onReplicaReport(Message.PresenceReport report, long nowMs) {
		OtherReplica otherReplica = this.otherReplicas.computeIfAbsent(report.replicaId(),
				(absent) -> new OtherReplica());
		otherReplica.entries.apply(report.entries());
		otherReplica.targets.apply(report.targets());
		otherReplica.pools = report.pools();
		otherReplica.reportedAtMs = nowMs;
	}

	/**
	 * Returns the leader's roster for a replica, without the entry addresses if the
	 * replica has them.
	 */
	synchronized Message.Roster rosterFor(Message.PresenceReport report, Message.Roster roster) {
		OtherReplica otherReplica = this.otherReplicas.getOrDefault(report.replicaId(), new OtherReplica());
		boolean hasEntries = report.rosterHash() == roster.rosterHash();
		return new Message.Roster(roster.rosterHash(), hasEntries ? Map.of() : roster.entries(),
				filterByTargets(roster.directives(), otherReplica.targets.keys()), otherReplica.entries.version(),
				otherReplica.targets.version());
	}

	/** Returns all live entries by id. */
	synchronized Map<String, Message.EntryState> entries(long nowMs) {
		removeExpired(nowMs);
		Map<String, Message.EntryState> entries = new TreeMap<>();
		this.otherReplicas.values()
			.forEach((otherReplica) -> otherReplica.entries.rows()
				.forEach((entry) -> entries.put(entry.nodeId(), entry)));
		this.connectedEntries.forEach((id, connected) -> entries.put(id, connected.state));
		return entries;
	}

	/** Returns all live targets by id. */
	synchronized Map<String, Message.TargetState> targets(long nowMs) {
		removeExpired(nowMs);
		Map<String, Message.TargetState> targets = ownTargets();
		this.otherReplicas.values()
			.forEach((otherReplica) -> otherReplica.targets.rows().forEach((target) -> putNewest(targets, target)));
		return targets;
	}

	/** Returns the load of each pool over all entries. */
	synchronized List<Message.PoolLoad> pools(long nowMs) {
		removeExpired(nowMs);
		Map<String, Message.PoolLoad> pools = new TreeMap<>();
		ownPools().forEach((pool) -> addLoad(pools, pool));
		this.otherReplicas.values()
			.forEach((otherReplica) -> otherReplica.pools.forEach((pool) -> addLoad(pools, pool)));
		return List.copyOf(pools.values());
	}

	/** Returns all live entries and targets, for a replica that does not lead. */
	Message.PresenceReport fullReport(String replicaId, long nowMs) {
		Map<String, Message.EntryState> entries = entries(nowMs);
		return new Message.PresenceReport(replicaId, 0, pools(nowMs), fullTable(entries), fullTable(targets(nowMs)));
	}

	private static <V> TableChanges<V> fullTable(Map<String, V> rows) {
		return new TableChanges<>("", true, 0, 0, rows, List.of());
	}

	private Map<String, Message.TargetState> ownTargets() {
		Map<String, Message.TargetState> targets = new TreeMap<>();
		this.connectedEntries.values()
			.forEach((connected) -> connected.targets.rows().forEach((target) -> putNewest(targets, target)));
		return targets;
	}

	private static void putNewest(Map<String, Message.TargetState> targets, Message.TargetState target) {
		targets.merge(target.targetId(), target,
				(current, other) -> (other.weightVersion() > current.weightVersion()) ? other : current);
	}

	private List<Message.PoolLoad> ownPools() {
		Map<String, Message.PoolLoad> pools = new TreeMap<>();
		this.connectedEntries.values().forEach((connected) -> connected.pools.forEach((pool) -> addLoad(pools, pool)));
		return List.copyOf(pools.values());
	}

	private static void addLoad(Map<String, Message.PoolLoad> pools, Message.PoolLoad load) {
		pools.merge(load.pool(), load, (current, other) -> new Message.PoolLoad(load.pool(),
				current.queuedCount() + other.queuedCount(), current.runningCount() + other.runningCount()));
	}

	private void removeExpired(long nowMs) {
		this.connectedEntries.values().removeIf((connected) -> nowMs - connected.reportedAtMs > EXPIRY_MS);
		this.otherReplicas.values().removeIf((otherReplica) -> nowMs - otherReplica.reportedAtMs > EXPIRY_MS);
	}

	/** An entry that reports to this replica. */
	private static final class ConnectedEntry {

		private final TableCopy<Message.TargetState> targets = new TableCopy<>();

		private Message.EntryState state = new Message.EntryState("", "", 0, 0, 0);

		private List<Message.PoolLoad> pools = List.of();

		private long reportedAtMs;

	}

	/** A copy of the entries and targets of another replica. */
	private static final class OtherReplica {

		private final TableCopy<Message.EntryState> entries = new TableCopy<>();

		private final TableCopy<Message.TargetState> targets = new TableCopy<>();

		private List<Message.PoolLoad> pools = List.of();

		private long reportedAtMs;

	}

}
