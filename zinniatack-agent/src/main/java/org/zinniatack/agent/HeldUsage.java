package org.zinniatack.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.usage.UsageBackup;
import org.zinniatack.core.usage.UsagePart;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * The use that entries leave with this agent, and what is done with it when an entry is
 * lost: another entry brings it before control.
 */
final class HeldUsage {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long CALL_TIMEOUT_MS = 5_000;

	private final UsageBackup backup;

	private final Map<Peer, String> sourcesByConnection = new HashMap<>();

	private boolean sending;

	HeldUsage(String incarnation, long lossDelayMs) {
		this.backup = new UsageBackup(incarnation, lossDelayMs);
	}

	/** Learns under which id an entry counts use. */
	synchronized void connected(Peer entry, String source) {
		this.sourcesByConnection.put(entry, source);
		this.backup.sourceConnected(source);
	}

	synchronized void note(Message.UsageNote note) {
		this.backup.hold(note.source(), note.sequence(), note.windowStartMs(), note.figure());
	}

	synchronized void release(Message.UsageRelease release) {
		this.backup.releaseThrough(release.source(), release.sequence());
	}

	synchronized void disconnected(Peer entry, long nowMs) {
		String source = this.sourcesByConnection.remove(entry);
		if (source != null && !this.sourcesByConnection.containsValue(source)) {
			this.backup.sourceDisconnected(source, nowMs);
		}
	}

	/** Returns whether this agent may have to report for a lost entry. */
	synchronized boolean holdsOfLost() {
		return this.backup.hasDisconnectedSource();
	}

	synchronized int reportCount() {
		return this.backup.heldReportCount();
	}

	/** Sends a part that is due through an entry, one at a time. */
	synchronized void tend(Optional<Peer> entry, long nowMs) {
		if (!this.sending && entry.isPresent()) {
			this.backup.nextDuePart(nowMs).ifPresent((part) -> send(part, entry.get()));
		}
	}

	private void send(UsagePart part, Peer entry) {
		this.sending = true;
		entry.call(new Message.HeldUsage(part), CALL_TIMEOUT_MS)
			.whenComplete((answer, failure) -> answered(part, failure == null));
	}

	private synchronized void answered(UsagePart part, boolean counted) {
		this.sending = false;
		if (counted) {
			this.backup.acknowledgePart(part);
			LOGGER.atInfo().log("event=held_usage_reported source=%s report=%d", part.source(), part.sequence());
		}
	}

}
