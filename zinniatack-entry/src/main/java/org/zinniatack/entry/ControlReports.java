package org.zinniatack.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.presence.VersionedTable;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Makes the reports of an entry to control: its own state, and what changed among the
 * targets that count it as their first entry since control last confirmed.
 */
final class ControlReports {

	private final String entryName;

	private final String address;

	private final VersionedTable<Message.TargetState> firstHeldTargets = VersionedTable
		.of(UUID.randomUUID().toString());

	private volatile Told told = new Told(null, TableVersion.NONE);

	ControlReports(String entryName, String address) {
		this.entryName = entryName;
		this.address = address;
	}

	/** Learns how far the copy of a process of control has come. */
	void confirmed(Peer by, TableVersion knownTargets) {
		this.told = new Told(by, knownTargets);
	}

	/** Returns a report for a process of control. */
	Message.EntryReport next(Peer to, Authority.View view, List<TargetLink> targets, List<Message.PoolLoad> loads) {
		Set<String> firstHeld = new HashSet<>();
		for (TargetLink target : targets) {
			if (isFirstOf(target.targetId(), view)) {
				firstHeld.add(target.targetId());
				this.firstHeldTargets.put(target.targetId(), target.state());
			}
		}
		this.firstHeldTargets.retain(firstHeld);
		Told last = this.told;
		TableVersion known = (last.by() == to) ? last.knownTargets() : TableVersion.NONE;
		return new Message.EntryReport(this.entryName, this.address, view.configuration().revision(),
				view.crashVersion(), view.entries().hashCode(), loads, this.firstHeldTargets.changesAfter(known));
	}

	private boolean isFirstOf(String targetId, Authority.View view) {
		return view.entries().isEmpty()
				|| Hashing.rendezvous(targetId, view.entries().keySet(), 1).contains(this.entryName);
	}

	/**
	 * How much a process of control knows.
	 *
	 * @param by the connection to it, null for none
	 * @param knownTargets how far its copy of the targets has come
	 */
	private record Told(@Nullable Peer by, TableVersion knownTargets) {
	}

}
