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
 * Builds the reports of an entry to the control processes: its own state, and the changes
 * of the targets whose primary entry it is since the version that control last confirmed.
 */
final class ControlReports {

	private final String entryName;

	private final String address;

	private final VersionedTable<Message.TargetState> primaryTargets = VersionedTable.of(UUID.randomUUID().toString());

	private volatile Confirmation lastConfirmation = new Confirmation(null, TableVersion.NONE);

	ControlReports(String entryName, String address) {
		this.entryName = entryName;
		this.address = address;
	}

	/** Records which version of the targets a control process has confirmed. */
	void confirmed(Peer by, TableVersion knownTargets) {
		this.lastConfirmation = new Confirmation(by, knownTargets);
	}

	/** Returns the next report for a control process. */
	Message.EntryReport next(Peer to, Authority.View view, List<TargetLink> targets, List<Message.PoolLoad> loads) {
		Set<String> primaryTargetIds = new HashSet<>();
		for (TargetLink target : targets) {
			if (isPrimaryFor(target.targetId(), view)) {
				primaryTargetIds.add(target.targetId());
				this.primaryTargets.put(target.targetId(), target.state());
			}
		}
		this.primaryTargets.retain(primaryTargetIds);
		Confirmation last = this.lastConfirmation;
		TableVersion known = (last.by() == to) ? last.knownTargets() : TableVersion.NONE;
		return new Message.EntryReport(this.entryName, this.address, view.configuration().revision(),
				view.crashVersion(), view.entries().hashCode(), loads, this.primaryTargets.changesAfter(known));
	}

	private boolean isPrimaryFor(String targetId, Authority.View view) {
		return view.entries().isEmpty()
				|| Hashing.rendezvous(targetId, view.entries().keySet(), 1).contains(this.entryName);
	}

	/**
	 * The version of the targets that a control process has.
	 *
	 * @param by the connection to the process, null for none
	 * @param knownTargets the version of its copy of the targets
	 */
	private record Confirmation(@Nullable Peer by, TableVersion knownTargets) {
	}

}
