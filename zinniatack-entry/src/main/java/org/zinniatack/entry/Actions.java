package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.List;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.ResultCode;

/**
 * What is done after a lock is given back. A failing action does not keep the others from
 * being done.
 */
final class Actions {

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
