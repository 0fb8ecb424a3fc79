package org.zinniatack.gateway.call;

import org.zinniatack.core.result.ResultCode;

/**
 * Accepts measurements of calls that wait for a target with room. The methods are called
 * on the event loop.
 */
public interface WaitObserver {

	/** Ignores the measurements. */
	WaitObserver NONE = new WaitObserver() {

		@Override
		public void onWaitEnded(long waitedMs, String outcome) {
			// Nothing is recorded.
		}

		@Override
		public void onRefused(ResultCode code) {
			// Nothing is recorded.
		}

	};

	/**
	 * Called when a call that waited leaves the queue.
	 * @param waitedMs how long it waited, in milliseconds
	 * @param outcome "sent", "refused" or "ended"
	 */
	void onWaitEnded(long waitedMs, String outcome);

	/**
	 * Called when the queue refuses a call, whether it waited or not.
	 * @param code the reason
	 */
	void onRefused(ResultCode code);

}
