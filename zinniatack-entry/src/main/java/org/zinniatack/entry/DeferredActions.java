package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.List;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.ResultCode;

/**
 * Collects actions under a lock, to be run after the lock is released. If an action
 * throws, the failure is logged and the remaining actions still run.
 */
final class DeferredActions {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final List<Runnable> actions = new ArrayList<>();

	void add(Runnable action) {
		this.actions.add(action);
	}

	void run() {
		for (Runnable action : this.actions) {
			try {
				action.run();
			}
			catch (RuntimeException ex) {
				LOGGER.atSevere().withCause(ex).log("event=action_failed code=%d", ResultCode.INTERNAL.number());
			}
		}
	}

}
