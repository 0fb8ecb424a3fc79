package org.zinniatack.agent;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Tracks the requests that run on the target and limits their number. Once the target is
 * leaving, it rejects new requests without contacting another process.
 */
final class RequestAdmission {

	private static final long RETRY_AFTER_MS = 200;

	private final int slotCount;

	private final Map<String, String> running = new HashMap<>();

	private boolean exclusiveRunning;

	private boolean leaving;

	RequestAdmission(int slotCount) {
		this.slotCount = slotCount;
	}

	/**
	 * Admits a request, or rejects it before any part of it has reached the target.
	 * @param requestId the id of the attempt
	 * @param requestDigest the digest of the request
	 * @param exclusive true if no other request may run at the same time
	 * @throws ServiceException with TARGET_LEAVING or TARGET_BUSY if it is rejected
	 */
	synchronized void admit(String requestId, String requestDigest, boolean exclusive) throws ServiceException {
		if (this.leaving) {
			throw ServiceException.retryable(ResultCode.TARGET_LEAVING, "retry on another target", RETRY_AFTER_MS);
		}
		boolean atCapacity = this.exclusiveRunning || this.running.size() >= this.slotCount
				|| (exclusive && !this.running.isEmpty());
		if (atCapacity || this.running.containsKey(requestId)) {
			throw ServiceException.retryable(ResultCode.TARGET_BUSY, this.running.size() + " requests are running",
					RETRY_AFTER_MS);
		}
		this.running.put(requestId, requestDigest);
		this.exclusiveRunning = exclusive;
	}

	synchronized void finish(String requestId) {
		this.running.remove(requestId);
		this.exclusiveRunning = this.exclusiveRunning && !this.running.isEmpty();
	}

	synchronized void setLeaving(boolean leaving) {
		this.leaving = leaving;
	}

	synchronized boolean isLeaving() {
		return this.leaving;
	}

	synchronized int runningCount() {
		return this.running.size();
	}

	/** Returns the digests of the running requests, in no particular order. */
	synchronized Collection<String> runningDigests() {
		return List.copyOf(this.running.values());
	}

}
