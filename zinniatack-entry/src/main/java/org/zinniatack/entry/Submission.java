package org.zinniatack.entry;

import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ServiceException;

/**
 * Makes requests with the cost, queue time and deadline that fit their customer.
 */
final class Submission {

	private Submission() {
	}

	static CallerRequest of(EntryService entry, CallerRequest.Access access, CallerRequest.Call call,
			long maximumTokens, boolean bulk, AnswerSink sink) {
		double cost = entry.dispatcher().estimate(access.customer(), call.routeName(), maximumTokens);
		long nowMs = entry.nowMs();
		long queueTimeMs = bulk ? entry.settings().requestTimeoutMs() : queueTimeMs(entry, access);
		return new CallerRequest(access, call, cost, bulk, nowMs + queueTimeMs,
				nowMs + queueTimeMs + entry.settings().requestTimeoutMs(), sink);
	}

	private static long queueTimeMs(EntryService entry, CallerRequest.Access access) {
		try {
			return entry.configuration().policyOf(access.customer()).queueTimeMs();
		}
		catch (ServiceException ex) {
			return Specification.CustomerPolicy.defaults(access.customer()).queueTimeMs();
		}
	}

}
