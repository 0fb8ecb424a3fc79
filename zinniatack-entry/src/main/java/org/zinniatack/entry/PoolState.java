package org.zinniatack.entry;

import org.zinniatack.core.queue.RequestQueue;

/**
 * The waiting requests of a pool and how fast the pool works.
 */
final class PoolState {

	private static final double SMOOTHING = 0.05;

	private static final double FIRST_TOKENS_PER_SLOT_MS = 0.05;

	private static final long INTERACTIVE_MEMORY_MS = 30_000;

	private static final int RESERVED_SHARE = 8;

	private final RequestQueue<CallerRequest> queue;

	private double tokensPerSlotMs = FIRST_TOKENS_PER_SLOT_MS;

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

	void started(boolean bulk, long nowMs) {
		this.running++;
		this.lastInteractiveMs = bulk ? this.lastInteractiveMs : nowMs;
	}

	void ended(double tokens, long durationMs) {
		this.running--;
		if (tokens > 0) {
			double rate = tokens / Math.max(1, durationMs);
			this.tokensPerSlotMs += SMOOTHING * (rate - this.tokensPerSlotMs);
		}
	}

	/** Returns how long a new request of a flow would wait, in milliseconds. */
	long expectedWaitMs(RequestQueue.Flow flow, int slots, int room) {
		if (room > this.queue.size() || slots == 0) {
			return 0;
		}
		return (long) (this.queue.costAhead(flow) / (slots * this.tokensPerSlotMs));
	}

	/** Returns the slots that bulk work must leave free while others send requests. */
	int reservedSlots(int slots, long nowMs) {
		return (nowMs - this.lastInteractiveMs < INTERACTIVE_MEMORY_MS) ? slots / RESERVED_SHARE : 0;
	}

}
