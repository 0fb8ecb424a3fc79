package org.zinniatack.control;

import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.duty.DutyClaim;
import org.zinniatack.core.duty.DutyHolders;
import org.zinniatack.core.duty.DutyTurns;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;

/**
 * Lets the leader send calls with a fencing token once its claim to the duties is
 * committed, which a leader that was replaced shortly before has to wait with. Any thread
 * may use it.
 */
final class DutyGate {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final ReplicaDriver driver;

	private final DutyTurns turns;

	/** True while a read or a claim is not answered. */
	private boolean busy;

	private volatile OptionalLong actingTerm = OptionalLong.empty();

	/**
	 * Creates a gate that is closed.
	 * @param driver the replica of this process
	 * @param turns the turns of this process
	 */
	DutyGate(ReplicaDriver driver, DutyTurns turns) {
		this.driver = driver;
		this.turns = turns;
	}

	/**
	 * Returns the term in which this process may act now. It must be looked at last
	 * before each call.
	 * @return the term, which is the fencing token, or empty if this process must not act
	 */
	OptionalLong term() {
		OptionalLong acting = this.actingTerm;
		Optional<ReplicaStatus> leading = this.driver.leading();
		boolean open = leading.isPresent() && acting.isPresent() && leading.get().term() == acting.getAsLong();
		return open ? acting : OptionalLong.empty();
	}

	/** Reads the holders in a new term, and commits the claim that is due. */
	synchronized void check() {
		Optional<ReplicaStatus> leading = this.driver.leading();
		if (leading.isEmpty() || this.busy) {
			return;
		}
		long term = leading.get().term();
		if (term != this.turns.term()) {
			this.busy = true;
			this.driver.read(ControlState::dutyHolders)
				.whenComplete((holders, failure) -> onHolders(term, holders, failure));
			return;
		}
		this.turns.due(this.driver.nowMs()).ifPresent((claim) -> {
			this.busy = true;
			this.driver.propose(Command.DrainTarget.ofDuty(claim))
				.whenComplete((reply, failure) -> onProposed(term, claim, failure));
		});
	}

	private synchronized void onHolders(long term, DutyHolders holders, Throwable failure) {
		this.busy = false;
		if (failure != null) {
			LOGGER.atInfo().log("event=duty_holders_unknown term=%d detail=\"%s\"", term, failure.getMessage());
			return;
		}
		long nowMs = this.driver.nowMs();
		this.turns.begin(term, holders, this.driver.ledUntilMs(), nowMs);
		this.actingTerm = this.turns.actingTerm();
		LOGGER.atInfo()
			.log("event=duties_%s term=%d holders=%s last_act_ms_ago=%d wait_ms=%d",
					this.actingTerm.isPresent() ? "kept" : "wanted", term, holders.names(),
					nowMs - this.driver.ledUntilMs(), this.turns.waitMs(nowMs));
	}

	/** A claim that may have been committed in a later term is of no use in this one. */
	private synchronized void onProposed(long term, DutyClaim claim, Throwable failure) {
		this.busy = false;
		boolean current = this.driver.leading().filter((status) -> status.term() == term).isPresent();
		if (failure != null || !current) {
			LOGGER.atInfo()
				.log("event=duties_not_claimed term=%d detail=\"%s\"", term,
						(failure != null) ? failure.getMessage() : "the term has ended");
			return;
		}
		this.turns.committed(claim, this.driver.nowMs());
		this.actingTerm = this.turns.actingTerm();
		LOGGER.atInfo()
			.log("event=duties_%s term=%d holders=%s", claim.sole() ? "held_alone" : "claimed", term,
					this.turns.holders().names());
	}

}
