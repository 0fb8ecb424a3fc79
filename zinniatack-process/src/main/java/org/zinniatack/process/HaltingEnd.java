package org.zinniatack.process;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.ResultCode;

/**
 * Halts the virtual machine, with the result code modulo 256 as the exit status.
 */
final class HaltingEnd implements ProcessEnd {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** The log is written by another thread. */
	private static final long LOG_FLUSH_MS = 100;

	private static final int EXIT_STATUS = ResultCode.INTERNAL.number() % 256;

	@Override
	public void end(String task, Throwable failure) {
		try {
			LOGGER.atSevere()
				.withCause(failure)
				.log("event=process_failed code=%d task=%s cause=\"%s\"", ResultCode.INTERNAL.number(), task, failure);
			TimeUnit.MILLISECONDS.sleep(LOG_FLUSH_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			// Without a free heap even the log line fails.
			Runtime.getRuntime().halt(EXIT_STATUS);
		}
	}

}
