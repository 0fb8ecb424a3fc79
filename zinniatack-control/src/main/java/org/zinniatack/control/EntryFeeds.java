package org.zinniatack.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.zinniatack.core.state.ControlState;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Sends the connected entries the changes that they are missing: in response to each
 * report, and immediately when the configuration records or the crash suspects change.
 */
final class EntryFeeds {

	private final ReplicaDriver driver;

	private final Presence presence;

	private final PresenceExchange exchange;

	private final Map<String, EntryConnection> connections = new ConcurrentHashMap<>();

	EntryFeeds(ReplicaDriver driver, Presence presence, PresenceExchange exchange) {
		this.driver = driver;
		this.presence = presence;
		this.exchange = exchange;
	}

	/** Sends feeds to the entries that miss a change. Runs on the state's thread. */
	void onStateChanged(ControlState state) {
		for (EntryConnection connection : this.connections.values()) {
			boolean isOutdated = connection.sentRevision < state.records().revision()
					|| connection.sentCrashVersion < state.crashes().version();
			if (isOutdated) {
				sendFeed(connection, state);
			}
		}
	}

	/** Applies an entry's report and responds with a feed. */
	void onReport(Peer peer, Message.EntryReport report) {
		this.presence.onEntryReport(report, this.driver.nowMs());
		EntryConnection connection = this.connections.compute(report.nodeId(), (id,
				previous) -> (previous != null && previous.peer == peer) ? previous : new EntryConnection(id, peer));
		this.driver.read((state) -> {
			connection.sentRevision = report.revision();
			connection.sentCrashVersion = report.crashVersion();
			connection.rosterHash = report.rosterHash();
			sendFeed(connection, state);
			return true;
		});
	}

	void onClosed(Peer peer) {
		this.connections.values().removeIf((connection) -> connection.peer == peer);
	}

	private void sendFeed(EntryConnection connection, ControlState state) {
		ReplicaStatus status = this.driver.status();
		Message.Roster roster = this.exchange.roster();
		boolean hasEntries = connection.rosterHash == roster.rosterHash();
		boolean hasCrashes = connection.sentCrashVersion == state.crashes().version();
		connection.peer.send(new Message.Feed(state.records().revision(), connection.sentRevision,
				state.records().recordsAfter(connection.sentRevision), status.term(),
				Math.max(0, this.driver.nowMs() - status.currentAsOfMs()), state.newestWeightVersions(),
				roster.rosterHash(), hasEntries ? Map.of() : roster.entries(), state.crashes().version(),
				hasCrashes ? List.of() : state.crashes().suspects(),
				hasCrashes ? List.of() : state.crashes().quarantined(),
				this.presence.directivesFor(connection.nodeId, roster.directives()),
				this.presence.knownTargets(connection.nodeId)));
		connection.rosterHash = roster.rosterHash();
		connection.sentRevision = state.records().revision();
		connection.sentCrashVersion = state.crashes().version();
	}

	/**
	 * The versions that an entry has. Only the state's thread uses its mutable fields.
	 */
	private static final class EntryConnection {

		private final String nodeId;

		private final Peer peer;

		private long sentRevision;

		private long sentCrashVersion;

		private int rosterHash;

		EntryConnection(String nodeId, Peer peer) {
			this.nodeId = nodeId;
			this.peer = peer;
		}

	}

}
