package org.zinniatack.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.zinniatack.core.state.ControlState;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Tells the entries that are connected to this replica what they lack: at each of their
 * reports, and at once when the records or the suspects have changed.
 */
final class EntryFeeds {

	private final ReplicaDriver driver;

	private final Presence presence;

	private final PresenceExchange exchange;

	private final Map<String, EntryLink> links = new ConcurrentHashMap<>();

	EntryFeeds(ReplicaDriver driver, Presence presence, PresenceExchange exchange) {
		this.driver = driver;
		this.presence = presence;
		this.exchange = exchange;
	}

	/** Feeds the entries that lack a change; runs on the replica's thread. */
	void onChange(ControlState state) {
		for (EntryLink link : this.links.values()) {
			boolean news = link.sentRevision < state.records().revision()
					|| link.sentCrashVersion < state.crashes().version();
			if (news) {
				feed(link, state);
			}
		}
	}

	/** Takes an entry's report over and answers it with a feed. */
	void onReport(Peer peer, Message.EntryReport report) {
		this.presence.report(report, this.driver.nowMs());
		EntryLink link = this.links.compute(report.nodeId(),
				(id, known) -> (known != null && known.peer == peer) ? known : new EntryLink(id, peer));
		this.driver.read((state) -> {
			link.sentRevision = report.revision();
			link.sentCrashVersion = report.crashVersion();
			link.rosterHash = report.rosterHash();
			feed(link, state);
			return true;
		});
	}

	void onClosed(Peer peer) {
		this.links.values().removeIf((link) -> link.peer == peer);
	}

	private void feed(EntryLink link, ControlState state) {
		ReplicaStatus status = this.driver.status();
		Message.Roster roster = this.exchange.roster();
		boolean knowsEntries = link.rosterHash == roster.rosterHash();
		boolean knowsCrashes = link.sentCrashVersion == state.crashes().version();
		link.peer.send(new Message.Feed(state.records().revision(), link.sentRevision,
				state.records().recordsAfter(link.sentRevision), status.term(),
				Math.max(0, this.driver.nowMs() - status.currentAsOfMs()), state.newestWeightVersions(),
				roster.rosterHash(), knowsEntries ? Map.of() : roster.entries(), state.crashes().version(),
				knowsCrashes ? List.of() : state.crashes().suspects(),
				knowsCrashes ? List.of() : state.crashes().quarantined(),
				this.presence.directivesOf(link.nodeId, roster.directives()), this.presence.knownTargets(link.nodeId)));
		link.rosterHash = roster.rosterHash();
		link.sentRevision = state.records().revision();
		link.sentCrashVersion = state.crashes().version();
	}

	/** What was sent to one entry; the numbers belong to the replica's thread. */
	private static final class EntryLink {

		private final String nodeId;

		private final Peer peer;

		private long sentRevision;

		private long sentCrashVersion;

		private int rosterHash;

		EntryLink(String nodeId, Peer peer) {
			this.nodeId = nodeId;
			this.peer = peer;
		}

	}

}
