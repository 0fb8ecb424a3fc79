package org.zinniatack.gateway.call;

import java.util.function.Consumer;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.state.RequestIdentity;
import org.zinniatack.core.state.SuspectedRequests.Standing;

/**
 * Knows which requests may end targets. All methods are called on the event loop.
 */
public interface CrashGuard {

	/** Lets all requests run. */
	CrashGuard NONE = new CrashGuard() {

		@Override
		public Standing standing(RequestIdentity request) {
			return Standing.CLEAR;
		}

		@Override
		public void requestTrial(RequestIdentity request, Consumer<Boolean> decision) {
			decision.accept(true);
		}

		@Override
		public long retryAfterMs(RequestIdentity request) {
			return 0;
		}

		@Override
		public int endedTargets(RequestIdentity request) {
			return 0;
		}

		@Override
		public void connectionLost(RequestIdentity request, TargetNotice target) {
			// Nothing is remembered.
		}

		@Override
		public void givenUp(RequestIdentity request, TargetNotice target) {
			// Nothing is remembered.
		}

		@Override
		public void responded(TargetNotice target) {
			// Nothing is remembered.
		}

		@Override
		public void answered(RequestIdentity request, String requestId) {
			// Nothing is remembered.
		}

	};

	/**
	 * Returns whether a request may run.
	 * @param request the request
	 * @return the standing; a released request may run if a trial of it is granted
	 */
	Standing standing(RequestIdentity request);

	/**
	 * Asks for the only trial of a released request among all entries.
	 * @param request the request
	 * @param decision accepts whether the trial is granted, on the event loop
	 */
	void requestTrial(RequestIdentity request, Consumer<Boolean> decision);

	/**
	 * Returns when a quarantined request may be tried again.
	 * @param request the request
	 * @return the time until then, in milliseconds
	 */
	long retryAfterMs(RequestIdentity request);

	/**
	 * Returns how many targets are known to have ended under a request.
	 * @param request the request
	 * @return the number of targets
	 */
	int endedTargets(RequestIdentity request);

	/**
	 * Records that the connection to a target was lost while it may have run a request.
	 * @param request the request
	 * @param target the target
	 */
	void connectionLost(RequestIdentity request, TargetNotice target);

	/**
	 * Records that nobody waits any longer for the rest of a target's response to a
	 * request, of which no part need have come.
	 * @param request the request
	 * @param target the target
	 */
	void givenUp(RequestIdentity request, TargetNotice target);

	/**
	 * Records that a target responded to any request, so that it is not silent.
	 * @param target the target
	 */
	void responded(TargetNotice target);

	/**
	 * Records that a target answered a request that it had run. A target's failure is no
	 * answer: it doesn't show that the request can be run to its end.
	 * @param request the request
	 * @param requestId the id of this attempt by the caller
	 */
	void answered(RequestIdentity request, String requestId);

}
