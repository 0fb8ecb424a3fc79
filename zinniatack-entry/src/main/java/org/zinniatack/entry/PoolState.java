package org.zinniatack.entry;

import org.zinniatack.core.queue.RequestQueue;

/**
 * Tracks the queue of a pool, its running requests and its throughput.
 */
final class PoolState {

	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double INITIAL_TOKENS_PER_SLOT_MS = 0.05;

	private static final long INTERACTIVE_WINDOW_MS = 30_000;

	private static final int RESERVED_SLOTS_DIVISOR = 8;

	private final RequestQueue<CallerRequest> queue;

	private double tokensPerSlotMs = INITIAL_TOKENS_PER_SLOT_MS;

	private long lastInteractiveMs = Long.MIN_VALUE / 2;

	private int running;

	PoolState(RequestQueue<CallerRequest> queue) {
		this.queue = queue;
	}

	RequestQueue<CallerRequest> queue() {
		return this.queue;
	}

	int running() {
		return this.running;
	}

	void requestStarted(boolean bulk, long nowMs) {
		this.running++;
		this.lastInteractiveMs = bulk ? this.lastInteractiveMs : nowMs;
	}

	void requestEnded(double tokens, long durationMs) {
		this.running--;
		if (tokens > 0) {
			double tokensPerMs = tokens / Math.max(1, durationMs);
			this.tokensPerSlotMs += SMOOTHING_FACTOR * (tokensPerMs - this.tokensPerSlotMs);
		}
	}

	/** Returns the expected queue time of a new request of a flow, in milliseconds. */
	long expectedWaitMs(RequestQueue.Flow flow, int slots, int freeSlots) {
		if (freeSlots > this.queue.size() || slots == 0) {
			return 0;
		}
		return (long) (this.queue.costAhead(flow) / (slots * this.tokensPerSlotMs));
	}

	/** Returns the slots that bulk requests must leave free for interactive requests. */
	int reservedSlots(int slots, long nowMs) {
		return (nowMs - this.lastInteractiveMs < INTERACTIVE_WINDOW_MS) ? slots / RESERVED_SLOTS_DIVISOR : 0;
	}

}
