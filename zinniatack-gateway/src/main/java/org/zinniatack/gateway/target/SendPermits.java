package org.zinniatack.gateway.target;

import org.zinniatack.core.directory.TargetNotice;

/**
 * Permits for requests to targets that are cold or may become cold.
 */
public interface SendPermits {

	/**
	 * Returns permits without a bound.
	 * @return the permits
	 */
	static SendPermits unlimited() {
		return new SendPermits() {

			@Override
			public boolean isAvailable(TargetNotice target, long nowMs) {
				return true;
			}

			@Override
			public boolean take(TargetNotice target, long nowMs) {
				return true;
			}

			@Override
			public boolean request(TargetNotice target, long nowMs) {
				return false;
			}

		};
	}

	/**
	 * Returns whether a request may be sent to a target now.
	 * @param target the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false if no permit is left
	 */
	boolean isAvailable(TargetNotice target, long nowMs);

	/**
	 * Takes a permit for one request, which must be sent at once.
	 * @param target the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return false if no permit was left, so that the request must not be sent
	 */
	boolean take(TargetNotice target, long nowMs);

	/**
	 * Asks for a permit for a later request, because none was left.
	 * @param target the target
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if permits may arrive soon, false if there is nobody to ask or it was
	 * refused a moment ago
	 */
	boolean request(TargetNotice target, long nowMs);

}
