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
 * Holds copies of usage that entries have counted but not yet reported. If an entry is
 * lost, its usage is reported to the control processes through another entry.
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

	/** Records the id under which a connected entry counts usage. */
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

	/** Returns whether usage is held of an entry that is disconnected. */
	synchronized boolean hasDisconnectedSource() {
		return this.backup.hasDisconnectedSource();
	}

	synchronized int reportCount() {
		return this.backup.heldReportCount();
	}

	/** Sends a due part through the entry unless another part is unanswered. */
	synchronized void reportDuePart(Optional<Peer> entry, long nowMs) {
		if (!this.sending && entry.isPresent()) {
			this.backup.nextDuePart(nowMs).ifPresent((part) -> send(part, entry.get()));
		}
	}

	private void send(UsagePart part, Peer entry) {
		this.sending = true;
		entry.call(new Message.HeldUsage(part), CALL_TIMEOUT_MS)
			.whenComplete((answer, failure) -> onAnswer(part, failure == null));
	}

	private synchronized void onAnswer(UsagePart part, boolean recorded) {
		this.sending = false;
		if (recorded) {
			this.backup.acknowledgePart(part);
			LOGGER.atInfo().log("event=held_usage_reported source=%s report=%d", part.source(), part.sequence());
		}
	}

}
