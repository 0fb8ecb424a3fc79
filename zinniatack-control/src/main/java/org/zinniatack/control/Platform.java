package org.zinniatack.control;

import java.util.Optional;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.TargetOrder;
import org.zinniatack.core.usage.UsageWindow;

/**
 * What the platform offers to the process in charge.
 */
public interface Platform {

	/**
	 * Returns the newest weight version of a model.
	 * @param model the model
	 * @return the version, or empty if there is none
	 * @throws ServiceException if the platform does not answer
	 */
	Optional<Long> newestWeights(String model) throws ServiceException;

	/**
	 * Sends an order of targets.
	 * @param order the order
	 * @param fencingNumber the number of the holder of this duty, rising by holder
	 * @throws ServiceException if the platform does not take it
	 */
	void order(TargetOrder order, long fencingNumber) throws ServiceException;

	/**
	 * Sends the report of a closed window.
	 * @param window the window
	 * @param fencingNumber the number of the holder of this duty, rising by holder
	 * @throws ServiceException if the platform does not take it
	 */
	void report(UsageWindow window, long fencingNumber) throws ServiceException;

	/**
	 * Returns a platform that takes nothing and has no weights.
	 * @return the platform
	 */
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
