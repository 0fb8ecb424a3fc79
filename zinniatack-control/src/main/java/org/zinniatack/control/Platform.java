package org.zinniatack.control;

import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.TargetOrder;
import org.zinniatack.core.usage.UsageWindow;

/**
 * The interfaces of the platform that the leader calls.
 */
public interface Platform {

	/**
	 * Returns the newest weight version of a model.
	 * @param model the name of the model
	 * @return the version, or empty if there is none
	 * @throws ServiceException if the platform does not respond
	 */
	Optional<Long> newestWeightVersion(String model) throws ServiceException;

	/**
	 * Orders the targets of a pool. An order that was sent before may be sent again.
	 * @param order the order
	 * @param fencingNumber the leader's term, which is higher for each new leader
	 * @param maySend asked last before the order leaves, which it must not if this is
	 * false
	 * @throws ServiceException if the platform does not accept it
	 */
	void sendOrder(TargetOrder order, long fencingNumber, BooleanSupplier maySend) throws ServiceException;

	/**
	 * Reports the usage of a closed window.
	 * @param window the usage window
	 * @param fencingNumber the leader's term, which is higher for each new leader
	 * @param maySend asked last before the report leaves, which it must not if this is
	 * false
	 * @throws ServiceException if the platform does not accept it
	 */
	void reportUsage(UsageWindow window, long fencingNumber, BooleanSupplier maySend) throws ServiceException;

	/**
	 * Returns a platform that ignores orders and reports and has no weights.
	 * @return the platform
	 */
	static Platform none() {
		return new Platform() {
			@Override
			public Optional<Long> newestWeightVersion(String model) {
				return Optional.empty();
			}

			@Override
			public void sendOrder(TargetOrder order, long fencingNumber, BooleanSupplier maySend) {
			}

			@Override
			public void reportUsage(UsageWindow window, long fencingNumber, BooleanSupplier maySend) {
			}
		};
	}

}
