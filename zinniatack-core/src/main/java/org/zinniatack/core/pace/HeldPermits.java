package org.zinniatack.core.pace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The permits for requests to cold targets that an entry holds. A permit is valid from
 * the moment at which the entry asked for it, by the entry's clock, so a reply that
 * arrives late and a process that was frozen hold none.
 */
public final class HeldPermits {

	/** The time for which a permit is valid, in milliseconds. */
	public static final long VALID_MS = 300;

	/** The most permits that one request asks for, so that many entries get a share. */
	static final int MAXIMUM_COUNT = 4;

	/** The delay until the next request after one that got nothing. */
	static final long PAUSE_MS = 100;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private static final int MAXIMUM_TARGETS = 256;

	private final Map<String, Held> heldById = new HashMap<>();

	/**
	 * Takes a permit for one request.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if there was one
	 */
	public boolean take(String targetId, long bornMs, long nowMs) {
		return held(targetId, bornMs, nowMs).take(nowMs);
	}

	/**
	 * Returns whether a permit is left.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if {@link #take} would return true
	 */
	public boolean isAvailable(String targetId, long bornMs, long nowMs) {
		return held(targetId, bornMs, nowMs).isAvailable(nowMs);
	}

	/**
	 * Records that a request found no permit.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @param nowMs the monotonic time, in milliseconds
	 * @return the number of permits to ask the leader for, 0 while a reply is awaited or
	 * shortly after one that granted none
	 */
	public int countToRequest(String targetId, long bornMs, long nowMs) {
		return held(targetId, bornMs, nowMs).countToRequest(nowMs);
	}

	/**
	 * Returns whether a reply of the leader may still bring permits.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if a reply is awaited
	 */
	public boolean awaitsReply(String targetId, long bornMs, long nowMs) {
		return held(targetId, bornMs, nowMs).awaitsReply(nowMs);
	}

	/**
	 * Records the reply to a request.
	 * @param targetId the id of the target
	 * @param bornMs the start time in the request, in milliseconds since the epoch
	 * @param count the number of permits granted, 0 also if no leader replied
	 * @param requestedAtMs the monotonic time of the request, in milliseconds
	 * @param nowMs the monotonic time, in milliseconds
	 * @return true if a permit is valid
	 */
	public boolean onReply(String targetId, long bornMs, int count, long requestedAtMs, long nowMs) {
		Held held = this.heldById.get(targetId);
		return held != null && held.bornMs == bornMs && held.onReply(count, requestedAtMs, nowMs);
	}

	private Held held(String targetId, long bornMs, long nowMs) {
		Held held = this.heldById.get(targetId);
		if (held == null || held.bornMs != bornMs) {
			if (this.heldById.size() >= MAXIMUM_TARGETS) {
				this.heldById.values().removeIf((other) -> nowMs - other.requestedAtMs > VALID_MS);
			}
			held = new Held(bornMs);
			this.heldById.put(targetId, held);
		}
		return held;
	}

	/** The permits for one start of a target. */
	private static final class Held {

		private final long bornMs;

		private final Deque<Long> lapseTimesMs = new ArrayDeque<>();

		private int missedCount;

		private long requestedAtMs = NEVER_MS;

		private boolean awaitsReply;

		private long pausedUntilMs = NEVER_MS;

		Held(long bornMs) {
			this.bornMs = bornMs;
		}

		boolean take(long nowMs) {
			return isAvailable(nowMs) && this.lapseTimesMs.poll() != null;
		}

		boolean isAvailable(long nowMs) {
			this.lapseTimesMs.removeIf((lapseMs) -> lapseMs < nowMs);
			return !this.lapseTimesMs.isEmpty();
		}

		int countToRequest(long nowMs) {
			this.missedCount = Math.min(this.missedCount + 1, MAXIMUM_COUNT);
			if (awaitsReply(nowMs) || nowMs < this.pausedUntilMs) {
				return 0;
			}
			int count = this.missedCount;
			this.missedCount = 0;
			this.awaitsReply = true;
			this.requestedAtMs = nowMs;
			return count;
		}

		boolean awaitsReply(long nowMs) {
			return this.awaitsReply && nowMs - this.requestedAtMs <= VALID_MS;
		}

		boolean onReply(int count, long sentAtMs, long nowMs) {
			this.awaitsReply &= sentAtMs != this.requestedAtMs;
			if (count <= 0) {
				this.pausedUntilMs = nowMs + PAUSE_MS;
			}
			for (int i = 0; i < count && nowMs - sentAtMs <= VALID_MS; i++) {
				this.lapseTimesMs.add(sentAtMs + VALID_MS);
			}
			return isAvailable(nowMs);
		}

	}

}
