package org.zinniatack.entry;

import java.util.Optional;
import java.util.function.LongSupplier;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Decides which requests may no longer wait or run, and what their callers are told.
 */
final class Enforcement {

	private static final long RETRY_MS = 1_000;

	private final LongSupplier clockMs;

	private final Authority authority;

	private final SuspectTracker suspects;

	Enforcement(LongSupplier clockMs, Authority authority, SuspectTracker suspects) {
		this.clockMs = clockMs;
		this.authority = authority;
		this.suspects = suspects;
	}

	/** Returns whether the key of a request is no longer in force. */
	boolean isKeyWithdrawn(CallerRequest request) {
		var key = request.principal().key();
		return key != null && this.authority.view()
			.configuration()
			.customerOf(key)
			.filter(request.principal().customer()::equals)
			.isEmpty();
	}

	/** Returns whether a request stands on a word of control that has grown too old. */
	boolean isAuthorityExpired(CallerRequest request) {
		return request.principal().key() != null && !this.authority.isValid(this.clockMs.getAsLong());
	}

	/** Returns the failure with which a request ends now, or empty if it may go on. */
	Optional<ServiceException> reasonToEnd(CallerRequest request) {
		long nowMs = this.clockMs.getAsLong();
		boolean neverStarted = request.target() == null && !request.mayHaveRun();
		if (isAuthorityExpired(request)) {
			ResultCode code = neverStarted ? ResultCode.AUTHORITY_EXPIRED : ResultCode.AUTHORITY_LOST;
			return retryable(code, "no word from control", this.authority.retryAfterMs());
		}
		if (isKeyWithdrawn(request)) {
			return Optional.of(ServiceException
				.of(neverStarted ? ResultCode.KEY_WITHDRAWN_QUEUED : ResultCode.KEY_WITHDRAWN, "withdrawn"));
		}
		if (this.suspects.isQuarantined(request)) {
			return Optional.of(neverStarted ? ServiceException.of(ResultCode.QUARANTINED, "queued")
					: ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "quarantined"));
		}
		if (request.target() == null && nowMs >= request.queuedUntilMs()) {
			return tooLate(neverStarted, "queue time passed");
		}
		return (nowMs >= request.deadlineMs()) ? tooLate(neverStarted, "deadline passed") : Optional.empty();
	}

	private static Optional<ServiceException> tooLate(boolean neverStarted, String detail) {
		return neverStarted ? retryable(ResultCode.DEADLINE_UNREACHABLE, detail, RETRY_MS)
				: Optional.of(ServiceException.of(ResultCode.DEADLINE_EXCEEDED, detail));
	}

	private static Optional<ServiceException> retryable(ResultCode code, String detail, long retryAfterMs) {
		return Optional.of(ServiceException.retryable(code, detail, retryAfterMs));
	}

}
