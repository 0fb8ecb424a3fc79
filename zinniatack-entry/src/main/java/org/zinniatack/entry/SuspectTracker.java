package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that may crash targets: what control says of them, what this entry saw
 * itself, and those that wait to run alone. It belongs to the {@link Dispatcher}.
 */
final class SuspectTracker {

	private static final int MAXIMUM_LOCAL_DIGESTS = 4_096;

	private final Authority authority;

	private final Set<String> locallySuspected = new LinkedHashSet<>();

	private final List<CallerRequest> waiting = new ArrayList<>();

	SuspectTracker(Authority authority) {
		this.authority = authority;
	}

	/** Notes that a target crashed while it ran a request. */
	void recordCrash(CallerRequest request) {
		this.locallySuspected.add(digestOf(request));
		if (this.locallySuspected.size() > MAXIMUM_LOCAL_DIGESTS) {
			this.locallySuspected.remove(this.locallySuspected.iterator().next());
		}
	}

	/** Notes that a request ran to its end. */
	void recordSuccess(CallerRequest request) {
		this.locallySuspected.remove(digestOf(request));
	}

	/** Returns whether a request must run alone. */
	boolean isSuspect(CallerRequest request) {
		return this.authority.view().suspects().contains(digestOf(request))
				|| this.locallySuspected.contains(digestOf(request));
	}

	/** Returns whether a request must not run at all. */
	boolean isQuarantined(CallerRequest request) {
		return this.authority.view().quarantined().contains(digestOf(request));
	}

	/** Lets a request wait until a target is free of other work. */
	void awaitIdleTarget(CallerRequest request) {
		request.setSuspect(true);
		this.waiting.add(request);
	}

	void stopWaiting(CallerRequest request) {
		this.waiting.remove(request);
	}

	/** Returns the requests that wait, in their order. */
	List<CallerRequest> waiting() {
		return List.copyOf(this.waiting);
	}

	private static String digestOf(CallerRequest request) {
		return request.call().digest().hex();
	}

}
