package org.zinniatack.core.retry;

import java.util.EnumSet;
import java.util.Set;

import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ResultCode;

/**
 * Decides whether a failed attempt may be followed by another.
 */
public interface RetryPolicy {

	/**
	 * Returns a policy that never tries again.
	 * @return the policy
	 */
	static RetryPolicy never() {
		return (attempt) -> false;
	}

	/**
	 * Returns a policy that tries again what is allowed to run again, within a number of
	 * attempts and a budget over all requests.
	 * @param maximumAttempts the largest number of attempts of one request
	 * @param budget the budget
	 * @return the policy
	 */
	static RetryPolicy within(int maximumAttempts, RetryBudget budget) {
		return (attempt) -> attempt.number() < maximumAttempts && attempt.isSafeToRetry() && budget.tryWithdraw();
	}

	/**
	 * Returns whether another attempt is made.
	 * @param attempt the failed attempt
	 * @return true if the request is tried again
	 */
	boolean shouldRetry(Attempt attempt);

	/**
	 * A failed attempt.
	 *
	 * @param number the number of attempts so far
	 * @param code why it failed
	 * @param repeatable true if the request may run more than once
	 * @param answered true if the caller has received a part that cannot be continued
	 */
	record Attempt(int number, ResultCode code, boolean repeatable, boolean answered) {

		private static final Set<ResultCode> CONCLUSIVE = EnumSet.of(ResultCode.QUARANTINED, ResultCode.FIELD_INVALID,
				ResultCode.MALFORMED_BODY, ResultCode.BODY_TOO_LARGE, ResultCode.KEY_WITHDRAWN,
				ResultCode.KEY_WITHDRAWN_QUEUED, ResultCode.AUTHORITY_LOST, ResultCode.AUTHORITY_EXPIRED,
				ResultCode.DEADLINE_EXCEEDED, ResultCode.DEADLINE_UNREACHABLE);

		/**
		 * Returns whether running the request again keeps what is promised.
		 * @return true if it never ran, or may run more than once
		 */
		public boolean isSafeToRetry() {
			return !CONCLUSIVE.contains(this.code) && !this.answered
					&& (this.code.outcome() == Outcome.NOT_RUN || this.repeatable);
		}

	}

}
