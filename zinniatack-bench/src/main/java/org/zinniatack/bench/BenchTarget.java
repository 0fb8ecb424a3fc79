package org.zinniatack.bench;

import java.util.LinkedHashMap;

import org.zinniatack.core.routing.Candidate;

/**
 * Simulated target with 8 slots that caches the most recently used prefixes.
 */
final class BenchTarget implements Candidate {

	private static final int SLOTS = 8;

	private static final int CACHED_PREFIXES = 48;

	private final String id;

	private final LinkedHashMap<Integer, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

	private int running;

	BenchTarget(String id) {
		this.id = id;
	}

	void start() {
		this.running++;
	}

	void end() {
		this.running--;
	}

	int running() {
		return this.running;
	}

	/** Starts a request and returns whether its prefix was cached. */
	boolean startWithPrefix(int prefix) {
		start();
		boolean hit = this.cache.put(prefix, true) != null;
		if (this.cache.size() > CACHED_PREFIXES) {
			this.cache.remove(this.cache.keySet().iterator().next());
		}
		return hit;
	}

	@Override
	public String failureDomain() {
		return "a";
	}

	@Override
	public boolean isAvailable() {
		return this.running < SLOTS;
	}

	@Override
	public double load() {
		return (double) this.running / SLOTS;
	}

	@Override
	public String targetId() {
		return this.id;
	}

}
