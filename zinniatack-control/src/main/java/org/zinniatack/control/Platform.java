package org.zinniatack.control;

import java.util.Optional;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.TargetOrder;
import org.zinniatack.core.usage.UsageWindow;

/**
 * What the platform offers to the process in charge.
 */
interface Platform {

	/** Returns the newest weight version of a model, or empty if there is none. */
	Optional<Long> newestWeights(String model) throws ServiceException;

	/** Sends an order of targets under a fencing number. */
	void order(TargetOrder order, long fencingNumber) throws ServiceException;

	/** Sends the report of a closed window under a fencing number. */
	void report(UsageWindow window, long fencingNumber) throws ServiceException;

	/** Returns a platform that takes nothing and has no weights. */
	static Platform none() {
		return new Platform() {
			@Override
			public Optional<Long> newestWeights(String model) {
				return Optional.empty();
			}

			@Override
			public void order(TargetOrder order, long fencingNumber) {
			}

			@Override
			public void report(UsageWindow window, long fencingNumber) {
			}
		};
	}

}
