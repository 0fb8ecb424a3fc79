package org.zinniatack.entry;

import java.util.Optional;
import java.util.function.LongSupplier;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Decides which queued or running requests must end, and with which error.
 */
final class Enforcement {

	private static final long RETRY_AFTER_MS = 1_000;

	private final LongSupplier clockMs;

	private final Authority authority;

	private final SuspectTracker suspects;

	Enforcement(LongSupplier clockMs, Authority authority, SuspectTracker suspects) {
		this.clockMs = clockMs;
		this.authority = authority;
		this.suspects = suspects;
	}

	/** Returns whether the key of a request is no longer valid for its customer. */
	boolean isKeyWithdrawn(CallerRequest request) {
		var key = request.principal().key();
		return key != null && this.authority.view()
			.configuration()
			.customerOf(key)
			.filter(request.principal().customer()::equals)
			.isEmpty();
	}

	/** Returns whether a request needs a key and the authority lease has expired. */
	boolean isAuthorityExpired(CallerRequest request) {
		return request.principal().key() != null && !this.authority.isValid(this.clockMs.getAsLong());
	}

	/** Returns the error with which a request must end now, or empty if it may go on. */
	Optional<ServiceException> reasonToEnd(CallerRequest request) {
		long nowMs = this.clockMs.getAsLong();
		boolean neverStarted = request.target() == null && !request.mayHaveRun();
		if (isAuthorityExpired(request)) {
			ResultCode code = neverStarted ? ResultCode.AUTHORITY_EXPIRED : ResultCode.AUTHORITY_LOST;
			return retryable(code, "the authority lease has expired", this.authority.retryAfterMs());
		}
		if (isKeyWithdrawn(request)) {
			return Optional
				.of(ServiceException.of(neverStarted ? ResultCode.KEY_WITHDRAWN_QUEUED : ResultCode.KEY_WITHDRAWN,
						"the key is no longer valid"));
		}
		if (this.suspects.isQuarantined(request)) {
			return Optional.of(quarantined(request, neverStarted));
		}
		if (request.target() == null && nowMs >= request.queuedUntilMs()) {
			return timedOut(neverStarted, "the queue time has passed");
		}
		return (nowMs >= request.deadlineMs()) ? timedOut(neverStarted, "the deadline has passed") : Optional.empty();
	}

	/** The crash may be known here before the target of the request reports it. */
	private static ServiceException quarantined(CallerRequest request, boolean neverStarted) {
		if (neverStarted) {
			return ServiceException.of(ResultCode.QUARANTINED, "the request was quarantined in the queue");
		}
		ResultCode code = (request.lostTargetCount() > 0) ? ResultCode.TARGET_CRASHED : ResultCode.ANSWER_CUT_SHORT;
		return ServiceException.of(code, "the request was quarantined while it was running");
	}

	private static Optional<ServiceException> timedOut(boolean neverStarted, String detail) {
		return neverStarted ? retryable(ResultCode.DEADLINE_UNREACHABLE, detail, RETRY_AFTER_MS)
				: Optional.of(ServiceException.of(ResultCode.DEADLINE_EXCEEDED, detail));
	}

	private static Optional<ServiceException> retryable(ResultCode code, String detail, long retryAfterMs) {
		return Optional.of(ServiceException.retryable(code, detail, retryAfterMs));
	}

}
