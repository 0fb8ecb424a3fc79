package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that may crash targets: what control says of them, what this entry saw
 * itself, and those that wait to run alone. It belongs to the {@link Dispatcher}.
 */
final class Suspects {

	private static final int DIGESTS_KEPT = 4_096;

	private final Authority authority;

	private final Set<String> seenHere = new LinkedHashSet<>();

	private final List<CallerRequest> waiting = new ArrayList<>();

	Suspects(Authority authority) {
		this.authority = authority;
	}

	/** Notes that a target crashed while it ran a request. */
	void add(CallerRequest request) {
		this.seenHere.add(digestOf(request));
		if (this.seenHere.size() > DIGESTS_KEPT) {
			this.seenHere.remove(this.seenHere.iterator().next());
		}
	}

	/** Notes that a request ran to its end. */
	void clear(CallerRequest request) {
		this.seenHere.remove(digestOf(request));
	}

	/** Returns whether a request must run alone. */
	boolean contains(CallerRequest request) {
		return this.authority.view().suspects().contains(digestOf(request))
				|| this.seenHere.contains(digestOf(request));
	}

	/** Returns whether a request must not run at all. */
	boolean isQuarantined(CallerRequest request) {
		return this.authority.view().quarantined().contains(digestOf(request));
	}

	/** Lets a request wait until a target is free of other work. */
	void await(CallerRequest request) {
		request.suspect(true);
		this.waiting.add(request);
	}

	void remove(CallerRequest request) {
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
