package org.zinniatack.process;

import org.zinniatack.core.result.ServiceException;

/**
 * A service of a process that is started once and stopped once.
 */
public interface Service {

	/**
	 * Starts the service.
	 * @throws ServiceException if it cannot start
	 */
	void start() throws ServiceException;

	/**
	 * Stops the service once the accepted work has ended or a timeout has passed.
	 */
	void stop();

}
