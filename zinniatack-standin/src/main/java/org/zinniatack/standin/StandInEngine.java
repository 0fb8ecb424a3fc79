package org.zinniatack.standin;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The state of a model engine: its weight version, the newest fencing number that it has
 * seen, and what it is running.
 */
public final class StandInEngine {

	private static final String[] WORDS = { "desk", "rota", "drain", "pipe", "cover", "shift", "survey", "report" };

	private final EngineOptions options;

	private final AtomicInteger running = new AtomicInteger();

	private final Runnable crash;

	private long weightVersion;

	private long newestFencingNumber;

	private int remainingFailures;

	/**
	 * Returns an engine.
	 * @param options how it behaves
	 * @param crash what happens when it crashes
	 */
	public StandInEngine(EngineOptions options, Runnable crash) {
		this.options = options;
		this.crash = crash;
		this.weightVersion = options.weightVersion();
		this.remainingFailures = options.failedLoads();
	}

	EngineOptions options() {
		return this.options;
	}

	synchronized long weightVersion() {
		return this.weightVersion;
	}

	AtomicInteger running() {
		return this.running;
	}

	void crash() {
		this.crash.run();
	}

	/** Loads weights, or returns false if the order is fenced off or the load fails. */
	boolean load(long version, long fencingNumber) throws InterruptedException {
		synchronized (this) {
			if (this.options.honoursFencing() && fencingNumber < this.newestFencingNumber) {
				return false;
			}
			this.newestFencingNumber = Math.max(this.newestFencingNumber, fencingNumber);
			if (this.remainingFailures > 0) {
				this.remainingFailures--;
				return false;
			}
		}
		TimeUnit.MILLISECONDS.sleep(this.options.loadMs());
		synchronized (this) {
			this.weightVersion = version;
		}
		return true;
	}

	/** Returns one token, the same for the same prompt, seed and position. */
	static String token(String prompt, long seed, int position) {
		SplittableRandom random = new SplittableRandom(prompt.hashCode() * 31L + seed * 7919 + position);
		return ((position == 0) ? "" : " ") + WORDS[random.nextInt(WORDS.length)] + position;
	}

	/**
	 * How an engine behaves.
	 *
	 * @param weightVersion the weight version at the start
	 * @param tokenIntervalMs the time between two tokens, in milliseconds
	 * @param loadMs the time to load weights, in milliseconds
	 * @param honoursFencing true if it refuses orders with an old fencing number
	 * @param failedLoads the number of loads that fail before one succeeds
	 * @param crashPrompt a text that makes the engine exit, empty for none
	 */
	public record EngineOptions(long weightVersion, long tokenIntervalMs, long loadMs, boolean honoursFencing,
			int failedLoads, String crashPrompt) {
	}

}
