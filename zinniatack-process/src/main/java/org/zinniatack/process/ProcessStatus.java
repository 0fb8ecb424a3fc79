package org.zinniatack.process;

import java.util.Map;

/**
 * The readiness and state of a process, as its HTTP endpoints expose them.
 */
public interface ProcessStatus {

	/**
	 * Returns the state of the process for operators, without secrets.
	 * @return the values by name
	 */
	Map<String, Object> dump();

	/**
	 * Returns whether the process accepts new work.
	 * @return true if it is ready
	 */
	boolean isReady();

}
