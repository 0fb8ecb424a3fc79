package org.zinniatack.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Enforces the rate, concurrency and spending limits of customers. A request that could
 * not start within the queue time of its policy is refused immediately.
 */
public final class AdmissionController {

	/** Seconds of the permitted request rate that may arrive in one burst. */
	private static final double BURST_S = 2;

	private static final double S_PER_HOUR = 3600;

	/** Seconds of the permitted token rate that may be spent in one burst. */
	private static final double SPENDING_BURST_S = 600;

	private static final long CONCURRENCY_RETRY_MS = 1_000;

	private final Map<String, CustomerState> customers = new HashMap<>();

	/**
	 * Admits a request, or refuses it and states when to retry.
	 * @param policy the customer's policy
	 * @param expectedWaitMs the expected queueing delay, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @throws ServiceException with CUSTOMER_LIMIT_REACHED, SPENDING_CEILING_REACHED or
	 * DEADLINE_UNREACHABLE
	 */
	public void admit(Specification.CustomerPolicy policy, long expectedWaitMs, long nowMs) throws ServiceException {
		CustomerState state = stateOf(policy, nowMs);
		if (expectedWaitMs > policy.queueTimeMs()) {
			throw ServiceException.retryable(
					ResultCode.DEADLINE_UNREACHABLE, "expected wait of " + expectedWaitMs
							+ " ms exceeds the queue time of " + policy.queueTimeMs() + " ms",
					Math.max(1, expectedWaitMs - policy.queueTimeMs()));
		}
		if (policy.concurrency() > 0 && state.admitted >= policy.concurrency()) {
			throw ServiceException.retryable(ResultCode.CUSTOMER_LIMIT_REACHED,
					"customer is at its limit of concurrent requests: " + policy.concurrency(), CONCURRENCY_RETRY_MS);
		}
		checkSpendingCeiling(policy, nowMs);
		long rateWaitMs = (policy.requestsPerS() > 0) ? state.requests.tryTake(1, nowMs) : 0;
		if (rateWaitMs > 0) {
			throw ServiceException.retryable(ResultCode.CUSTOMER_LIMIT_REACHED,
					"customer exceeds its limit of requests per second: " + policy.requestsPerS(), rateWaitMs);
		}
		state.admitted++;
	}

	/**
	 * Refuses work of a customer whose token usage exceeds its spending ceiling.
	 * @param policy the customer's policy
	 * @param nowMs the monotonic time, in milliseconds
	 * @throws ServiceException with SPENDING_CEILING_REACHED
	 */
	public void checkSpendingCeiling(Specification.CustomerPolicy policy, long nowMs) throws ServiceException {
		long retryAfterMs = (policy.tokensPerHour() > 0) ? stateOf(policy, nowMs).tokens.debtRepaymentMs(nowMs) : 0;
		if (retryAfterMs > 0) {
			throw ServiceException.retryable(ResultCode.SPENDING_CEILING_REACHED,
					"customer has used up its ceiling of tokens per hour: " + policy.tokensPerHour(), retryAfterMs);
		}
	}

	/**
	 * Charges a customer for tokens that a request used, whether or not the request
	 * passed {@link #admit}.
	 * @param customer the customer
	 * @param tokenCount the number of tokens
	 * @param nowMs the monotonic time, in milliseconds
	 */
	public void charge(String customer, long tokenCount, long nowMs) {
		CustomerState state = this.customers.get(customer);
		if (state != null) {
			state.tokens.charge(tokenCount, nowMs);
		}
	}

	/**
	 * Frees the concurrency slot of an admitted request that has ended.
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
			CustomerState created = new CustomerState(policy, nowMs);
			created.admitted = (found != null) ? found.admitted : 0;
			this.customers.put(policy.customer(), created);
			return created;
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
