package org.zinniatack.standin;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * State of a simulated model engine: its weight version, the newest fencing token it has
 * seen, and the number of requests it is running.
 */
public final class StandInEngine {

	private static final String[] WORDS = { "desk", "rota", "drain", "pipe", "cover", "shift", "survey", "report" };

	private final EngineOptions options;

	private final AtomicInteger runningCount = new AtomicInteger();

	private final Runnable crashAction;

	private long weightVersion;

	private long newestFencingNumber;

	private int remainingFailedLoads;

	/**
	 * Creates an engine.
	 * @param options the behaviour of the engine
	 * @param crashAction the action that simulates a crash of the engine
	 */
	public StandInEngine(EngineOptions options, Runnable crashAction) {
		this.options = options;
		this.crashAction = crashAction;
		this.weightVersion = options.weightVersion();
		this.remainingFailedLoads = options.failedLoads();
	}

	EngineOptions options() {
		return this.options;
	}

	synchronized long weightVersion() {
		return this.weightVersion;
	}

	AtomicInteger runningCount() {
		return this.runningCount;
	}

	void crash() {
		this.crashAction.run();
	}

	/**
	 * Loads weights.
	 * @return false if the fencing token is outdated or the load is set to fail
	 */
	boolean loadWeights(long version, long fencingNumber) throws InterruptedException {
		synchronized (this) {
			if (this.options.honoursFencing() && fencingNumber < this.newestFencingNumber) {
				return false;
			}
			this.newestFencingNumber = Math.max(this.newestFencingNumber, fencingNumber);
			if (this.remainingFailedLoads > 0) {
				this.remainingFailedLoads--;
				return false;
			}
		}
		TimeUnit.MILLISECONDS.sleep(this.options.loadMs());
		synchronized (this) {
			this.weightVersion = version;
		}
		return true;
	}

	/** Returns the token at a position, determined by prompt, seed and position alone. */
	static String tokenAt(String prompt, long seed, int position) {
		SplittableRandom random = new SplittableRandom(prompt.hashCode() * 31L + seed * 7919 + position);
		return ((position == 0) ? "" : " ") + WORDS[random.nextInt(WORDS.length)] + position;
	}

	/**
	 * Settings for the behaviour of an engine.
	 *
	 * @param weightVersion the weight version at the start
	 * @param tokenIntervalMs the time between two tokens, in milliseconds
	 * @param loadMs the time to load weights, in milliseconds
	 * @param honoursFencing true if it refuses orders with an outdated fencing token
	 * @param failedLoads the number of loads that fail before one succeeds
	 * @param crashPrompt a text that crashes the engine when a prompt contains it, empty
	 * for none
	 */
	public record EngineOptions(long weightVersion, long tokenIntervalMs, long loadMs, boolean honoursFencing,
			int failedLoads, String crashPrompt) {
	}

}
