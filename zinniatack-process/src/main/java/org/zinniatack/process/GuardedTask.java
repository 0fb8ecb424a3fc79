package org.zinniatack.process;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.ResultCode;

/**
 * A periodic task that goes on after an exception and ends the process at an error.
 *
 * @param name the name of the task
 * @param task the task
 * @param processEnd ends the process
 */
record GuardedTask(String name, Runnable task, ProcessEnd processEnd) implements Runnable {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere()
				.withCause(ex)
				.log("event=task_failed task=%s code=%d", this.name, ResultCode.INTERNAL.number());
		}
		catch (Error ex) {
			this.processEnd.end(this.name, ex);
			throw ex;
		}
	}

}
