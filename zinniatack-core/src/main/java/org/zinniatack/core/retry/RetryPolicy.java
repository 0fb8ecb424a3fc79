package org.zinniatack.core.retry;

import java.util.EnumSet;
import java.util.Set;

import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ResultCode;

/**
 * Decides whether a request is retried after a failed attempt.
 */
public interface RetryPolicy {

	/**
	 * Returns a policy that never retries.
	 * @return the policy
	 */
	static RetryPolicy never() {
		return (attempt) -> false;
	}

	/**
	 * Returns a policy that retries requests that are safe to retry, up to a number of
	 * attempts per request and within a budget shared by all requests.
	 * @param maximumAttempts the largest number of attempts per request
	 * @param budget the budget
	 * @return the policy
	 */
	static RetryPolicy within(int maximumAttempts, RetryBudget budget) {
		return (attempt) -> attempt.number() < maximumAttempts && attempt.isSafeToRetry() && budget.tryWithdraw();
	}

	/**
	 * Returns whether to make another attempt.
	 * @param attempt the failed attempt
	 * @return true if the request is to be retried
	 */
	boolean shouldRetry(Attempt attempt);

	/**
	 * A failed attempt.
	 *
	 * @param number the number of attempts so far
	 * @param code the result code of the failure
	 * @param repeatable true if the request may safely run more than once
	 * @param answered true if the caller has received a partial response that another
	 * attempt cannot continue
	 */
	record Attempt(int number, ResultCode code, boolean repeatable, boolean answered) {

		private static final Set<ResultCode> NOT_RETRYABLE = EnumSet.of(ResultCode.QUARANTINED,
				ResultCode.FIELD_INVALID, ResultCode.MALFORMED_BODY, ResultCode.BODY_TOO_LARGE,
				ResultCode.KEY_WITHDRAWN, ResultCode.KEY_WITHDRAWN_QUEUED, ResultCode.AUTHORITY_LOST,
				ResultCode.AUTHORITY_EXPIRED, ResultCode.DEADLINE_EXCEEDED, ResultCode.DEADLINE_UNREACHABLE);

		/**
		 * Returns whether another attempt may succeed and cannot run a request twice that
		 * is not repeatable.
		 * @return true if the code permits a retry, no partial response was sent, and the
		 * request either did not run or is repeatable
		 */
		public boolean isSafeToRetry() {
			return !NOT_RETRYABLE.contains(this.code) && !this.answered
					&& (this.code.outcome() == Outcome.NOT_RUN || this.repeatable);
		}

	}

}
