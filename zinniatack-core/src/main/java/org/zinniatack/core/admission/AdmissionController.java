package org.zinniatack.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Holds customers to the limits of their policies and refuses at once what could not
 * start in time.
 */
public final class AdmissionController {

	private static final double BURST_S = 2;

	private static final double S_PER_HOUR = 3600;

	private static final double SPENDING_BURST_S = 600;

	private static final long CONCURRENCY_RETRY_MS = 1_000;

	private final Map<String, CustomerState> customers = new HashMap<>();

	/**
	 * Admits a request, or refuses it with the time to come back.
	 * @param policy the customer's policy
	 * @param expectedWaitMs how long the request would wait, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @throws ServiceException with CUSTOMER_LIMIT_REACHED, SPENDING_CEILING_REACHED or
	 * DEADLINE_UNREACHABLE
	 */
	public void admit(Specification.CustomerPolicy policy, long expectedWaitMs, long nowMs) throws ServiceException {
		CustomerState state = stateOf(policy, nowMs);
		if (expectedWaitMs > policy.queueTimeMs()) {
			throw ServiceException.retryable(ResultCode.DEADLINE_UNREACHABLE, "expected wait " + expectedWaitMs + " ms",
					Math.max(1, expectedWaitMs - policy.queueTimeMs()));
		}
		if (policy.concurrency() > 0 && state.admitted >= policy.concurrency()) {
			throw ServiceException.retryable(ResultCode.CUSTOMER_LIMIT_REACHED, "concurrency " + policy.concurrency(),
					CONCURRENCY_RETRY_MS);
		}
		checkSpendingCeiling(policy, nowMs);
		long rateWaitMs = (policy.requestsPerS() > 0) ? state.requests.tryTake(1, nowMs) : 0;
		if (rateWaitMs > 0) {
			throw ServiceException.retryable(ResultCode.CUSTOMER_LIMIT_REACHED,
					"requests a second " + policy.requestsPerS(), rateWaitMs);
		}
		state.admitted++;
	}

	/**
	 * Refuses work of a customer that owes tokens.
	 * @param policy the customer's policy
	 * @param nowMs the monotonic time, in milliseconds
	 * @throws ServiceException with SPENDING_CEILING_REACHED
	 */
	public void checkSpendingCeiling(Specification.CustomerPolicy policy, long nowMs) throws ServiceException {
		long owedMs = (policy.tokensPerHour() > 0) ? stateOf(policy, nowMs).tokens.debtRepaymentMs(nowMs) : 0;
		if (owedMs > 0) {
			throw ServiceException.retryable(ResultCode.SPENDING_CEILING_REACHED,
					"tokens an hour " + policy.tokensPerHour(), owedMs);
		}
	}

	/**
	 * Charges tokens that a request used, admitted or not.
	 * @param customer the customer
	 * @param tokenCount the tokens
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void charge(String customer, long tokenCount, long nowMs) {
		CustomerState state = this.customers.get(customer);
		if (state != null) {
			state.tokens.charge(tokenCount, nowMs);
		}
	}

	/**
	 * Notes that an admitted request has ended.
	 * @param customer the customer
	 */
	public void release(String customer) {
		CustomerState state = this.customers.get(customer);
		if (state != null) {
			state.admitted--;
		}
	}

	private CustomerState stateOf(Specification.CustomerPolicy policy, long nowMs) {
		CustomerState found = this.customers.get(policy.customer());
		if (found == null || !found.policy.equals(policy)) {
			CustomerState fresh = new CustomerState(policy, nowMs);
			fresh.admitted = (found != null) ? found.admitted : 0;
			this.customers.put(policy.customer(), fresh);
			return fresh;
		}
		return found;
	}

	private static final class CustomerState {

		private final Specification.CustomerPolicy policy;

		private final TokenBucket requests;

		private final TokenBucket tokens;

		private int admitted;

		CustomerState(Specification.CustomerPolicy policy, long nowMs) {
			this.policy = policy;
			double tokensPerS = Math.max(1, policy.tokensPerHour()) / S_PER_HOUR;
			this.requests = new TokenBucket(Math.max(1e-9, policy.requestsPerS()),
					Math.max(1, policy.requestsPerS() * BURST_S), nowMs);
			this.tokens = new TokenBucket(tokensPerS, tokensPerS * SPENDING_BURST_S, nowMs);
		}

	}

}
