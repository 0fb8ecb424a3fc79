package org.zinniatack.entry;

import java.util.Objects;
import java.util.function.LongSupplier;

import org.zinniatack.core.routing.Candidate;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * The connection to a target's agent and this entry's view of the target's load and
 * health. Its mutable fields are guarded by the lock of the {@link QueueingDispatcher}.
 */
final class TargetLink implements Candidate {

	private static final int EJECTION_FAILURES = 3;

	private static final long EJECTION_MS = 5_000;

	private static final long SLOW_START_MS = 3_000;

	private static final long MINIMUM_SLOTS = 1;

	private final Peer peer;

	private final Message.Announce announce;

	private final LongSupplier clockMs;

	private Message.Load load = new Message.Load(0, 0, false, false, 0, 0);

	private int ownRunningCount;

	private int otherRunningCount;

	private int consecutiveFailures;

	private long ejectedUntilMs = Long.MIN_VALUE;

	private long slowStartSinceMs = Long.MIN_VALUE / 2;

	private boolean runsAlone;

	TargetLink(Peer peer, Message.Announce announce, LongSupplier clockMs) {
		this.peer = peer;
		this.announce = announce;
		this.clockMs = clockMs;
	}

	Peer peer() {
		return this.peer;
	}

	Message.Announce announce() {
		return this.announce;
	}

	Message.Load lastLoad() {
		return this.load;
	}

	/** Returns the state of the target that this entry reports to control. */
	Message.TargetState state() {
		return new Message.TargetState(targetId(), this.announce.pool(), failureDomain(), this.load.weightVersion(),
				this.load.leaving(), this.load.revision());
	}

	/** Returns the version of the target's software, empty if it states none. */
	String softwareVersion() {
		return Objects.requireNonNullElse(this.load.softwareVersion(), "");
	}

	int ownRunningCount() {
		return this.ownRunningCount;
	}

	void updateLoad(Message.Load newLoad) {
		long knownVersion = this.load.weightVersion();
		if (knownVersion != 0 && newLoad.weightVersion() != knownVersion) {
			this.slowStartSinceMs = this.clockMs.getAsLong();
		}
		this.load = newLoad;
		this.otherRunningCount = Math.max(0, newLoad.runningCount() - this.ownRunningCount);
	}

	void requestStarted(boolean alone) {
		this.ownRunningCount++;
		this.runsAlone = alone;
	}

	void requestEnded(boolean succeeded) {
		this.ownRunningCount--;
		this.runsAlone = this.runsAlone && this.ownRunningCount > 0;
		this.consecutiveFailures = succeeded ? 0 : this.consecutiveFailures + 1;
		if (this.consecutiveFailures >= EJECTION_FAILURES) {
			this.ejectedUntilMs = this.clockMs.getAsLong() + EJECTION_MS;
			this.consecutiveFailures = 0;
		}
	}

	/** Counts all slots as taken after a refusal, until the next load report. */
	void recordBusyRefusal() {
		this.otherRunningCount = Math.max(this.otherRunningCount, this.announce.slotCount() - this.ownRunningCount);
	}

	boolean isUsable() {
		return this.peer.isOpen() && this.load.healthy() && !this.load.leaving()
				&& this.clockMs.getAsLong() >= this.ejectedUntilMs;
	}

	boolean isIdle() {
		return isUsable() && this.ownRunningCount + this.otherRunningCount == 0;
	}

	@Override
	public String failureDomain() {
		return this.announce.failureDomain();
	}

	@Override
	public boolean isAvailable() {
		return isUsable() && freeSlots() > 0;
	}

	/** Returns the number of requests that may start on the target now. */
	int freeSlots() {
		return (this.runsAlone || !isUsable()) ? 0
				: Math.max(0, effectiveSlots() - this.ownRunningCount - this.otherRunningCount);
	}

	/**
	 * Returns the usable slots: fewer for a while after new weights have emptied the
	 * caches.
	 */
	private int effectiveSlots() {
		long sinceMs = this.clockMs.getAsLong() - this.slowStartSinceMs;
		if (sinceMs >= SLOW_START_MS) {
			return this.announce.slotCount();
		}
		return (int) Math.max(MINIMUM_SLOTS,
				(long) this.announce.slotCount() * (SLOW_START_MS + sinceMs) / (2 * SLOW_START_MS));
	}

	@Override
	public double load() {
		return (double) (this.ownRunningCount + this.otherRunningCount) / this.announce.slotCount();
	}

	@Override
	public String targetId() {
		return this.announce.targetId();
	}

}
