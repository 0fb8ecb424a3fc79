package org.zinniatack.process;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * A start that tries each step again until its obstacle has passed.
 */
final class RepeatedStart implements StartWait {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final Set<ResultCode> PASSING = Set.of(ResultCode.ADDRESS_IN_USE, ResultCode.FOLDER_LOCKED,
			ResultCode.DISK_FULL);

	private static final long RETRY_MS = 200;

	/** One line in ten seconds for each step. */
	private static final int TRIES_PER_LINE = 50;

	@Override
	public <T> T run(Step<T> step) throws ServiceException {
		for (int tries = 0; true; tries++) {
			try {
				return step.run();
			}
			catch (ServiceException ex) {
				if (!PASSING.contains(ex.code())) {
					throw ex;
				}
				if (tries % TRIES_PER_LINE == 0) {
					LOGGER.atWarning()
						.log("event=start_waits code=%d tries=%d detail=\"%s\"", ex.code().number(), tries + 1,
								ex.getMessage());
				}
				pause(ex);
			}
		}
	}

	private static void pause(ServiceException obstacle) throws ServiceException {
		try {
			TimeUnit.MILLISECONDS.sleep(RETRY_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw ServiceException.of(ResultCode.SHUTTING_DOWN, "interrupted while waiting: " + obstacle.getMessage());
		}
	}

}
