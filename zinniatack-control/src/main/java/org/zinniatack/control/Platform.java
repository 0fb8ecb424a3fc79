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
	Optional<Long> newestWeightVersion(String model) throws ServiceException;

	/**
	 * Sends an order of targets.
	 * @param order the order
	 * @param fencingToken the number of the holder of this duty, rising by holder
	 * @throws ServiceException if the platform does not take it
	 */
	void sendOrder(TargetOrder order, long fencingToken) throws ServiceException;

	/**
	 * Sends the report of a closed window.
	 * @param window the window
	 * @param fencingToken the number of the holder of this duty, rising by holder
	 * @throws ServiceException if the platform does not take it
	 */
	void reportUsage(UsageWindow window, long fencingToken) throws ServiceException;

	/**
	 * Returns a platform that takes nothing and has no weights.
	 * @return the platform
	 */
	static Platform none() {
		return new Platform() {
			@Override
			public Optional<Long> newestWeightVersion(String model) {
				return Optional.empty();
			}

			@Override
			public void sendOrder(TargetOrder order, long fencingToken) {
			}

			@Override
			public void reportUsage(UsageWindow window, long fencingToken) {
			}
		};
	}

}
