package org.zinniatack.process;

import org.zinniatack.core.result.ServiceException;

/**
 * What a start does about an obstacle that passes without it: a port or a data folder
 * that is in use, or a disk that refuses a write.
 */
public interface StartWait {

	/**
	 * Returns a start that fails at the first obstacle.
	 * @return the start of a process that somebody watches
	 */
	static StartWait none() {
		return new StartWait() {

			@Override
			public <T> T run(Step<T> step) throws ServiceException {
				return step.run();
			}

		};
	}

	/**
	 * Returns a start that tries again until the obstacle has passed or the thread is
	 * interrupted, and logs what it waits for.
	 * @return the start of a process that is started again whenever it ends
	 */
	static StartWait untilPassed() {
		return new RepeatedStart();
	}

	/**
	 * Runs a step of the start.
	 * @param <T> the type of the result
	 * @param step the step, which may run several times
	 * @return the result of the step
	 * @throws ServiceException if the step fails for another reason, or with
	 * SHUTTING_DOWN if the thread is interrupted; its interrupt stays set
	 */
	<T> T run(Step<T> step) throws ServiceException;

	/**
	 * A step that leaves nothing behind when it fails.
	 *
	 * @param <T> the type of the result
	 */
	interface Step<T> {

		/**
		 * Runs the step.
		 * @return the result
		 * @throws ServiceException if the step fails
		 */
		T run() throws ServiceException;

	}

}
