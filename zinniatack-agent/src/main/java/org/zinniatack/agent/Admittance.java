package org.zinniatack.agent;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The requests that run on the target, and whether another may start. It needs no other
 * process to refuse work once the target leaves.
 */
final class Admittance {

	private static final long BUSY_RETRY_MS = 200;

	private final int slotCount;

	private final Map<String, String> running = new HashMap<>();

	private boolean alone;

	private boolean leaving;

	Admittance(int slotCount) {
		this.slotCount = slotCount;
	}

	/**
	 * Lets a request start, or refuses it before anything of it has reached the target.
	 */
	synchronized void start(String requestId, String requestDigest, boolean wantsAlone) throws ServiceException {
		if (this.leaving) {
			throw ServiceException.retryable(ResultCode.TARGET_LEAVING, "another target may run it", BUSY_RETRY_MS);
		}
		boolean noRoom = this.alone || this.running.size() >= this.slotCount || (wantsAlone && !this.running.isEmpty());
		if (noRoom || this.running.containsKey(requestId)) {
			throw ServiceException.retryable(ResultCode.TARGET_BUSY, this.running.size() + " requests run",
					BUSY_RETRY_MS);
		}
		this.running.put(requestId, requestDigest);
		this.alone = wantsAlone;
	}

	synchronized void end(String requestId) {
		this.running.remove(requestId);
		this.alone = this.alone && !this.running.isEmpty();
	}

	synchronized void leaving(boolean changed) {
		this.leaving = changed;
	}

	synchronized boolean isLeaving() {
		return this.leaving;
	}

	synchronized int runningCount() {
		return this.running.size();
	}

	/** Returns the digests of the running requests. */
	synchronized Collection<String> digests() {
		return List.copyOf(this.running.values());
	}

}
