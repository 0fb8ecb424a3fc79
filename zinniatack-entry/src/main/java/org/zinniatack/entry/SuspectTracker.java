package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks requests that may crash targets: the digests that control has reported, those
 * that this entry has observed, and the requests that wait for an idle target. Guarded by
 * the lock of the {@link QueueingDispatcher}.
 */
final class SuspectTracker {

	private static final int MAXIMUM_LOCAL_DIGESTS = 4_096;

	private final Authority authority;

	private final Set<String> locallySuspected = new LinkedHashSet<>();

	private final List<CallerRequest> waiting = new ArrayList<>();

	SuspectTracker(Authority authority) {
		this.authority = authority;
	}

	/** Records that a target crashed while it ran a request. */
	void recordCrash(CallerRequest request) {
		this.locallySuspected.add(digestOf(request));
		if (this.locallySuspected.size() > MAXIMUM_LOCAL_DIGESTS) {
			this.locallySuspected.remove(this.locallySuspected.iterator().next());
		}
	}

	/** Records that a request completed. */
	void recordSuccess(CallerRequest request) {
		this.locallySuspected.remove(digestOf(request));
	}

	/** Returns whether a request may only run alone on its target. */
	boolean mustRunAlone(CallerRequest request) {
		return this.authority.view().suspects().contains(digestOf(request))
				|| this.locallySuspected.contains(digestOf(request));
	}

	/** Returns whether a request may not run at all. */
	boolean isQuarantined(CallerRequest request) {
		return this.authority.view().quarantined().contains(digestOf(request));
	}

	/** Lets a request wait until a target runs no other request. */
	void awaitIdleTarget(CallerRequest request) {
		request.setSuspect(true);
		this.waiting.add(request);
	}

	void stopWaiting(CallerRequest request) {
		this.waiting.remove(request);
	}

	/** Returns the waiting requests in the order of their arrival. */
	List<CallerRequest> waiting() {
		return List.copyOf(this.waiting);
	}

	private static String digestOf(CallerRequest request) {
		return request.call().identity().digest();
	}

}
