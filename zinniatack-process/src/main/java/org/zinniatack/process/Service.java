package org.zinniatack.process;

import org.zinniatack.core.result.ServiceException;

/**
 * Something that is started once and stopped once.
 */
public interface Service {

	/**
	 * Starts the service.
	 * @throws ServiceException if it cannot start
	 */
	void start() throws ServiceException;

	/**
	 * Stops the service after the work that it has accepted.
	 */
	void stop();

}
