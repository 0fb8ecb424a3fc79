package org.zinniatack.gateway.call;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.state.SuspectedRequests.Standing;

/**
 * Knows which calls may crash targets. All methods are called on the event loop.
 */
public interface CrashGuard {

	/** Lets all calls run. */
	CrashGuard NONE = new CrashGuard() {

		@Override
		public Standing standing(Call call) {
			return Standing.CLEAR;
		}

		@Override
		public long retryAfterMs(Call call) {
			return 0;
		}

		@Override
		public int endedTargets(Call call) {
			return 0;
		}

		@Override
		public void connectionLost(Call call, String digest, TargetNotice target) {
			// Nothing is remembered.
		}

		@Override
		public void answered(Call call) {
			// Nothing is remembered.
		}

	};

	/**
	 * Returns whether a call may run.
	 * @param call the call
	 * @return the standing; an answer of RELEASED lets this call alone try
	 */
	Standing standing(Call call);

	/**
	 * Returns when a quarantined call may be tried again.
	 * @param call the call
	 * @return the time until then, in milliseconds
	 */
	long retryAfterMs(Call call);

	/**
	 * Returns how many targets are known to have ended under a call.
	 * @param call the call
	 * @return the number of targets
	 */
	int endedTargets(Call call);

	/**
	 * Records that the connection to a target was lost while it may have run a call.
	 * @param call the call
	 * @param digest the digest of the call
	 * @param target the target
	 */
	void connectionLost(Call call, String digest, TargetNotice target);

	/**
	 * Records that a target answered a call that it had run.
	 * @param call the call
	 */
	void answered(Call call);

}
