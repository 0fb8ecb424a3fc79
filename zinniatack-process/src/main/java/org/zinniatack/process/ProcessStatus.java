package org.zinniatack.process;

import java.util.Map;

/**
 * What a process shows of itself.
 */
public interface ProcessStatus {

	/**
	 * Returns the state for operators, without secrets.
	 * @return the state by name
	 */
	Map<String, Object> dump();

	/**
	 * Returns whether the process should get new work.
	 * @return true if it is ready
	 */
	boolean isReady();

}
