package org.zinniatack.control;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.pace.ColdAllowance;
import org.zinniatack.core.pace.ColdAllowance.Limit;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.table.Pool;
import org.zinniatack.wire.Message;

/**
 * The leader's permits for requests to targets that are cold or may become cold. What the
 * leader sends itself and what it grants to entries share one allowance. A process
 * without a valid lease grants nothing.
 */
public final class ColdTargets {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long RETRY_MS = 500;

	private final DirectoryFeeds directory;

	private final Supplier<OptionalLong> leaseTerm;

	private final LongSupplier clockMs;

	private final double overage;

	private final double slack;

	private final ColdAllowance allowance;

	private long term;

	/**
	 * Creates the permits of a process that does not lead.
	 * @param directory the known targets
	 * @param leaseTerm returns the term in which this process leads, if it does
	 * @param clockMs the monotonic clock, in milliseconds
	 * @param overage the factor by which the rate of a cold target may be exceeded
	 * @param slack the number of requests by which it may be exceeded as well
	 */
	ColdTargets(DirectoryFeeds directory, Supplier<OptionalLong> leaseTerm, LongSupplier clockMs, double overage,
			double slack) {
		this.directory = directory;
		this.leaseTerm = leaseTerm;
		this.clockMs = clockMs;
		this.overage = overage;
		this.slack = slack;
		this.allowance = new ColdAllowance(clockMs.getAsLong());
	}

	/**
	 * Returns whether this process leads. Called regularly, it notices a new term soon,
	 * so that the first window does not begin only with the first request.
	 * @return true if it may grant permits
	 */
	synchronized boolean checkLease() {
		OptionalLong current = this.leaseTerm.get();
		if (current.isPresent() && current.getAsLong() != this.term) {
			this.term = current.getAsLong();
			this.allowance.restart(this.clockMs.getAsLong());
			LOGGER.atFine().log("event=cold_allowance_restarted term=%d", this.term);
		}
		return current.isPresent();
	}

	/**
	 * Returns whether the leader may send a request to a target now.
	 * @param target the target
	 * @return true if its pool has no bound or a permit is left
	 */
	public boolean isAvailable(TargetNotice target) {
		Pool pool = this.directory.pool(target.pool());
		return !pool.boundsColdTargets() || available(target, pool) > 0;
	}

	private synchronized int available(TargetNotice target, Pool pool) {
		return checkLease()
				? this.allowance.available(target.id(), target.bornMs(), limit(target, pool), this.clockMs.getAsLong())
				: 0;
	}

	/**
	 * Takes a permit for a request of the leader.
	 * @param target the target
	 * @return true if its pool has no bound or a permit was left
	 */
	public boolean take(TargetNotice target) {
		Pool pool = this.directory.pool(target.pool());
		return !pool.boundsColdTargets() || grantOne(target, pool);
	}

	private synchronized boolean grantOne(TargetNotice target, Pool pool) {
		return checkLease() && this.allowance.grant(target.id(), target.bornMs(), 1, limit(target, pool),
				this.clockMs.getAsLong()) == 1;
	}

	private Limit limit(TargetNotice target, Pool pool) {
		return this.directory.isCold(target.id()) ? Limit.ofCold(pool.coldPerS(), this.overage)
				: Limit.ofReady(pool.coldPerS(), this.overage, this.slack);
	}

	/**
	 * Grants permits to an entry that knows that a target is cold.
	 * @param request the request
	 * @return the permits, none for a target without a bound or that is unknown
	 * @throws ServiceException with NOT_LEADER if this process has no valid lease
	 */
	synchronized Message.ColdPermits grant(Message.ColdPermitRequest request) throws ServiceException {
		if (!checkLease()) {
			throw ServiceException.retryable(ResultCode.NOT_LEADER, "this process does not lead", RETRY_MS);
		}
		TargetNotice target = this.directory.notice(request.targetId());
		Pool pool = (target != null) ? this.directory.pool(target.pool()) : DirectoryFeeds.UNKNOWN_POOL;
		int granted = pool.boundsColdTargets() ? this.allowance.grant(request.targetId(), request.bornMs(),
				request.count(), Limit.ofCold(pool.coldPerS(), this.overage), this.clockMs.getAsLong()) : 0;
		LOGGER.atFine()
			.log("event=cold_permits_granted target=%s born=%d asked=%d granted=%d", request.targetId(),
					request.bornMs(), request.count(), granted);
		return new Message.ColdPermits(granted);
	}

}
