package org.zinniatack.core.duty;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides when the leader may call receivers that nobody else may call in between. A
 * receiver must not hear from two processes in turns within a time. So a process that was
 * replaced as holder acts again only once its last act, which it may not remember, is
 * older than that time.
 * <p>
 * Three facts make turns impossible. A holder is recorded in the replicated state before
 * its first act, so that a later leader, whose state has every record, knows who may have
 * acted since. An act of this process before its replacement left before this process
 * started or last stopped leading, whichever is later. Other processes give up the lease
 * before this one leads, so those recorded as earlier holders have acted long enough ago
 * once this one has held the duties for that time. All times are taken from the monotonic
 * clock of the process that waits: a clock that stands still lengthens the wait.
 * <p>
 * It is not thread-safe.
 */
public final class DutyTurns {

	/**
	 * The longest assumed time from the look at the lease to the arrival of the call, in
	 * milliseconds. It covers two retransmissions on a link that loses packets, and
	 * clocks that run too fast by a quarter.
	 */
	static final long TRANSIT_MS = 1_000;

	private final String name;

	private final long separationMs;

	private long term = -1;

	private DutyHolders holders = DutyHolders.none();

	private long mayClaimAtMs;

	private boolean holding;

	private long holdingSinceMs;

	/**
	 * Creates the turns of a process that does not lead.
	 * @param name the name of the process, which it keeps when its disk is lost
	 * @param leaseMs the time within which holders must not take turns, in milliseconds,
	 * 0 if they may
	 */
	public DutyTurns(String name, long leaseMs) {
		this.name = name;
		this.separationMs = (leaseMs > 0) ? leaseMs + TRANSIT_MS : 0;
	}

	/**
	 * Begins a term that this process leads.
	 * @param newTerm the term
	 * @param applied the holders in the replicated state, with every record of terms
	 * before
	 * @param lastActMs a time after which this process has not acted in terms before: its
	 * start or the last time at which it stopped leading, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void begin(long newTerm, DutyHolders applied, long lastActMs, long nowMs) {
		this.term = newTerm;
		this.holders = applied;
		this.holding = applied.isPresent(this.name);
		this.holdingSinceMs = nowMs;
		this.mayClaimAtMs = applied.isReplaced(this.name) ? lastActMs + this.separationMs : nowMs;
	}

	/**
	 * Returns the claim that this process should commit now.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the claim, or empty if none is due
	 */
	public Optional<DutyClaim> due(long nowMs) {
		if (!this.holding) {
			return (nowMs >= this.mayClaimAtMs) ? Optional.of(new DutyClaim(this.name, false)) : Optional.empty();
		}
		boolean othersAreLongAgo = nowMs - this.holdingSinceMs >= this.separationMs;
		return (othersAreLongAgo && this.holders.names().size() > 1) ? Optional.of(new DutyClaim(this.name, true))
				: Optional.empty();
	}

	/**
	 * Records that a claim of this term is committed and applied.
	 * @param claim the claim
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void committed(DutyClaim claim, long nowMs) {
		this.holders = this.holders.with(claim);
		if (!this.holding) {
			this.holding = true;
			this.holdingSinceMs = nowMs;
		}
	}

	/**
	 * Returns the term that began last.
	 * @return the term, or -1 if none has begun
	 */
	public long term() {
		return this.term;
	}

	/**
	 * Returns the term in which this process may act as long as it holds the lease.
	 * @return the term, or empty if it must not act in the term that began last
	 */
	public OptionalLong actingTerm() {
		return this.holding ? OptionalLong.of(this.term) : OptionalLong.empty();
	}

	/**
	 * Returns the holders as of the last claim of this process.
	 * @return the holders
	 */
	public DutyHolders holders() {
		return this.holders;
	}

	/**
	 * Returns how long this process still has to wait before it may claim.
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the time in milliseconds, 0 if it holds the duties or may claim them
	 */
	public long waitMs(long nowMs) {
		return this.holding ? 0 : Math.max(0, this.mayClaimAtMs - nowMs);
	}

}
