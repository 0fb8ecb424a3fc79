package org.zinniatack.entry;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ServiceException;

/**
 * Creates requests with their estimated cost, and with the queue time and deadline that
 * the policy of the customer sets.
 */
final class RequestFactory {

	private RequestFactory() {
	}

	static CallerRequest create(EntryService entry, CallerRequest.Principal principal, CallerRequest.Call call,
			long maximumTokens, boolean bulk, AnswerSink sink) {
		double cost = entry.dispatcher().estimateCostTokens(principal.customer(), call.routeName(), maximumTokens);
		long nowMs = entry.nowMs();
		long queueTimeMs = bulk ? entry.settings().requestTimeoutMs() : queueTimeMs(entry, principal);
		return new CallerRequest(principal, call, cost, bulk, nowMs + queueTimeMs,
				nowMs + queueTimeMs + entry.settings().requestTimeoutMs(), sink);
	}

	private static long queueTimeMs(EntryService entry, CallerRequest.Principal principal) {
		try {
			return entry.configuration().policyOf(principal.customer()).queueTimeMs();
		}
		catch (ServiceException ex) {
			return Specification.CustomerPolicy.defaults(principal.customer()).queueTimeMs();
		}
	}

}
