package org.zinniatack.gateway.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.queue.CallQueue;
import org.zinniatack.core.result.ResultCode;

/**
 * The calls of a process that wait for a target with room, in one queue per pool. Calls
 * are offered to targets when a request ends, and at short intervals because a target may
 * also become usable by the passage of time. All methods must be called on the event
 * loop.
 */
final class WaitingCalls {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Bounds the number of waiting calls in the process. */
	static final int MAXIMUM_COUNT = 256;

	/** Bounds the bodies of waiting calls to a fraction of the heap. */
	static final long MAXIMUM_BYTES = 4 * 1024 * 1024;

	/** Short compared with the time of an answer; offering costs some microseconds. */
	private static final long OFFER_INTERVAL_MS = 20;

	/** The time after which a call is worth repeating if no target is known. */
	private static final long NO_TARGET_RETRY_MS = 200;

	private final EventLoop loop;

	private final Predicate<String> hasTargets;

	private final Map<String, CallQueue<WaitingCall>> queuesByPool = new HashMap<>();

	private final Map<WaitingCall, Wait> waits = new HashMap<>();

	private WaitObserver observer = WaitObserver.NONE;

	private long waitingBytes;

	private @Nullable Future<?> nextOffer;

	/**
	 * Creates empty queues.
	 * @param loop the event loop
	 * @param hasTargets returns whether any target of a pool is known to accept requests
	 */
	WaitingCalls(EventLoop loop, Predicate<String> hasTargets) {
		this.loop = loop;
		this.hasTargets = hasTargets;
	}

	void observe(WaitObserver newObserver) {
		this.observer = newObserver;
	}

	/** Returns the number of calls that wait. */
	int count() {
		return this.waits.size();
	}

	/** Returns whether calls wait for targets of a pool. */
	boolean isAnyWaiting(String pool) {
		CallQueue<WaitingCall> queue = this.queuesByPool.get(pool);
		return queue != null && !queue.isEmpty();
	}

	private CallQueue<WaitingCall> queue(String pool) {
		return this.queuesByPool.computeIfAbsent(pool, (absent) -> new CallQueue<>());
	}

	/**
	 * Sends a call as soon as it is its turn and a target has room, or refuses it at once
	 * if that cannot be in time. Both may happen before this method returns.
	 * @param call the call
	 */
	void add(WaitingCall call) {
		CallQueue<WaitingCall> queue = queue(call.details().pool());
		queue.add(call, call.details().claim());
		this.waits.put(call, new Wait(nowMs()));
		this.waitingBytes += call.details().bodyBytes();
		offer(call.details().pool(), null);
		Wait wait = this.waits.get(call);
		if (wait != null) {
			wait.place = 1 + queue.inOrder(nowMs()).indexOf(call);
			refuseExcess(call.details().pool());
		}
	}

	/** Refuses the calls that would be sent last while the bounds are exceeded. */
	private void refuseExcess(String pool) {
		while (this.waits.size() > MAXIMUM_COUNT || this.waitingBytes > MAXIMUM_BYTES) {
			List<WaitingCall> inOrder = queue(pool).inOrder(nowMs());
			if (inOrder.isEmpty()) {
				return;
			}
			WaitingCall last = inOrder.get(inOrder.size() - 1);
			refuse(last, ResultCode.TARGET_BUSY, queue(pool).expectedWaitMs(last.details().claim().rank(), nowMs()));
		}
	}

	/** Removes a call that has ended. */
	void remove(WaitingCall call) {
		if (queue(call.details().pool()).remove(call)) {
			endWait(call, "ended");
		}
	}

	/** Records the time in which a target answered a call that left the queue. */
	void recordAnswered(String pool, long elapsedMs) {
		queue(pool).recordAnswered(elapsedMs);
	}

	/** Records that a target refused a call that left the queue. */
	void recordRefused(WaitingCall call) {
		CallQueue.Claim claim = call.details().claim();
		queue(call.details().pool()).recordRefused(claim.rank(), claim.customer(), nowMs());
	}

	/** Records that a call that left the queue ended without an answer. */
	void recordEnded(String pool) {
		queue(pool).recordEnded();
	}

	/**
	 * Offers calls once the present event is processed.
	 * @param pool the pool
	 * @param freedId the target that has just ended a call, or null
	 */
	void offerLater(String pool, @Nullable String freedId) {
		if (isAnyWaiting(pool)) {
			this.loop.execute(() -> offer(pool, freedId));
		}
	}

	/** Offers the calls of all pools to their targets. */
	void offerAll() {
		List.copyOf(this.queuesByPool.keySet()).forEach((pool) -> offer(pool, null));
	}

	/**
	 * Sends calls in their order while targets have room, and refuses those that cannot
	 * be answered in time.
	 * @param pool the pool
	 * @param freedId the target that has just ended a call, or null
	 */
	private void offer(String pool, @Nullable String freedId) {
		CallQueue<WaitingCall> queue = queue(pool);
		String unusedId = freedId;
		while (!queue.isEmpty()) {
			String acceptingId = unusedId;
			Optional<WaitingCall> next = queue.poll(new RoomTest(acceptingId, queue.isAnyRunning()), nowMs());
			if (next.isEmpty()) {
				break;
			}
			endWait(next.get(), "sent");
			if (next.get().sendToChosen().equals(unusedId)) {
				unusedId = null;
			}
		}
		refuseLate(pool);
		scheduleOffer();
	}

	private void refuseLate(String pool) {
		CallQueue<WaitingCall> queue = queue(pool);
		if (!queue.isEmpty() && !this.hasTargets.test(pool)) {
			queue.inOrder(nowMs()).forEach((call) -> refuse(call, ResultCode.NO_TARGET, NO_TARGET_RETRY_MS));
		}
		for (CallQueue.Expectation<WaitingCall> late : queue.removeLate(nowMs())) {
			endWait(late.call(), "refused");
			refuseRemoved(late.call(), ResultCode.DEADLINE_UNREACHABLE, late.waitMs());
		}
	}

	private void refuse(WaitingCall call, ResultCode code, long expectedWaitMs) {
		if (queue(call.details().pool()).remove(call)) {
			endWait(call, "refused");
			refuseRemoved(call, code, expectedWaitMs);
		}
	}

	private void refuseRemoved(WaitingCall call, ResultCode code, long expectedWaitMs) {
		this.observer.onRefused(code);
		call.refuseWaiting(code, CallQueue.retryAfterMs(expectedWaitMs));
	}

	/** Returns when a call of a rank is worth repeating, in milliseconds. */
	long retryAfterMs(String pool, int rank) {
		return CallQueue.retryAfterMs(queue(pool).expectedWaitMs(rank, nowMs()));
	}

	private void endWait(WaitingCall call, String outcome) {
		Wait wait = this.waits.remove(call);
		Details details = call.details();
		this.waitingBytes -= details.bodyBytes();
		if (wait != null && wait.place > 0) {
			long waitedMs = nowMs() - wait.startedAtMs;
			this.observer.onWaitEnded(waitedMs, outcome);
			LOGGER.atInfo()
				.log("event=call_waited request=%s pool=%s customer=%s rank=%d place=%d waited_ms=%d outcome=%s waiting=%d",
						details.id(), details.pool(), details.claim().customer(), details.claim().rank(), wait.place,
						waitedMs, outcome, this.waits.size());
		}
	}

	private void scheduleOffer() {
		if (this.nextOffer == null && !this.waits.isEmpty()) {
			this.nextOffer = this.loop.schedule(() -> {
				this.nextOffer = null;
				offerAll();
			}, OFFER_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	/** A call that can wait for a target with room. */
	interface WaitingCall {

		/** Returns what is constant about the call. */
		Details details();

		/** Returns whether the call has not been sent to any target yet. */
		boolean isUntried();

		/**
		 * Chooses a target with room.
		 * @param freedId the target that has just ended a call, or null
		 * @param roomExpected true if a target will have just ended a call soon, for
		 * which the last attempt is kept
		 * @return false if there is none
		 */
		boolean chooseTarget(@Nullable String freedId, boolean roomExpected);

		/**
		 * Sends the call to the target that was chosen.
		 * @return the id of the target, or empty if the call was not sent after all
		 */
		String sendToChosen();

		/**
		 * Ends the call because no target will take it in time.
		 * @param code the reason
		 * @param retryAfterMs the time after which to retry, in milliseconds
		 */
		void refuseWaiting(ResultCode code, long retryAfterMs);

	}

	/**
	 * What is constant about a call.
	 *
	 * @param id the id of the request for the log
	 * @param pool the pool that serves it
	 * @param claim its place in the order and its deadline
	 * @param bodyBytes the size of its body, in bytes
	 */
	record Details(String id, String pool, CallQueue.Claim claim, long bodyBytes) {
	}

	/**
	 * Tests in their order whether calls find a target. Where a call finds none that was
	 * sent to no target yet, those after it find none either.
	 */
	private static final class RoomTest implements Predicate<WaitingCall> {

		private final @Nullable String freedId;

		private final boolean roomExpected;

		private boolean exhausted;

		RoomTest(@Nullable String freedId, boolean roomExpected) {
			this.freedId = freedId;
			this.roomExpected = roomExpected;
		}

		@Override
		public boolean test(WaitingCall call) {
			boolean found = !this.exhausted && call.chooseTarget(this.freedId, this.roomExpected);
			this.exhausted |= !found && call.isUntried();
			return found;
		}

	}

	/** Since when a call waits, and where it started. */
	private static final class Wait {

		private final long startedAtMs;

		/** Its place at the start, 1 for the next; 0 before the first offer. */
		private int place;

		Wait(long startedAtMs) {
			this.startedAtMs = startedAtMs;
		}

	}

}
