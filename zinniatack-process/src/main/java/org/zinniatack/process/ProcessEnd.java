package org.zinniatack.process;

/**
 * Ends the process after a failure that leaves the state of a thread undefined, so that
 * the process is started again instead of running on without the thread.
 */
@FunctionalInterface
public interface ProcessEnd {

	/**
	 * Returns an end that logs the failure and halts the virtual machine.
	 * @return the end of a real process
	 */
	static ProcessEnd halt() {
		return new HaltingEnd();
	}

	/**
	 * Ends the process.
	 * @param task the name of the task that failed
	 * @param failure the failure
	 */
	void end(String task, Throwable failure);

	/**
	 * Returns a periodic task whose errors end the process and whose exceptions are
	 * logged. An executor would drop the task without a trace.
	 * @param name the name of the task
	 * @param task the task
	 * @return the guarded task
	 */
	default Runnable guard(String name, Runnable task) {
		return new GuardedTask(name, task, this);
	}

}
