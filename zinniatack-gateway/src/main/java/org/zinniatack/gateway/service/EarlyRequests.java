package org.zinniatack.gateway.service;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * Requests that arrive before the first routing table. After a restart of all processes
 * callers are back sooner than control has a leader, and most of them have time left for
 * only one more attempt. All methods must be called on the event loop.
 */
public final class EarlyRequests {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Enough for a target to answer and for the answer to reach the caller. */
	static final long MINIMUM_SERVICE_MS = 100;

	/** Bounds how long a request with a late deadline is held. */
	static final long MAXIMUM_HOLD_MS = 1_000;

	/** Bounds the number of held requests. */
	static final int MAXIMUM_COUNT = 512;

	/** Bounds the bodies of held requests to a fraction of the heap. */
	static final long MAXIMUM_BYTES = 8 * 1024 * 1024;

	private final EventLoop loop;

	private final Set<Held> held = new LinkedHashSet<>();

	private long heldBytes;

	EarlyRequests(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Holds a request until the routing table arrives or a target could no longer answer
	 * it in time.
	 * @param request the request
	 * @param bodyBytes the size of its body
	 * @param deadlineMs how long its caller waits, in milliseconds
	 * @return an action that forgets the request, or empty if it is not held because it
	 * has no time left or too much is held already
	 */
	public Optional<Runnable> hold(EarlyRequest request, long bodyBytes, long deadlineMs) {
		long limitMs = Math.min(deadlineMs - MINIMUM_SERVICE_MS, MAXIMUM_HOLD_MS);
		if (limitMs <= 0 || this.held.size() >= MAXIMUM_COUNT || this.heldBytes + bodyBytes > MAXIMUM_BYTES) {
			return Optional.empty();
		}
		Held added = new Held(request, bodyBytes);
		this.held.add(added);
		this.heldBytes += bodyBytes;
		added.timeout = this.loop.schedule(() -> {
			if (remove(added)) {
				request.refuse();
			}
		}, limitMs, TimeUnit.MILLISECONDS);
		LOGGER.atInfo()
			.log("event=request_held request=%s limit_ms=%d held=%d held_bytes=%d", request.id(), limitMs,
					this.held.size(), this.heldBytes);
		return Optional.of(() -> remove(added));
	}

	/** Handles all held requests, in the order of their arrival. */
	void release() {
		List.copyOf(this.held).forEach((early) -> {
			if (remove(early)) {
				early.request.handle();
			}
		});
	}

	/** Refuses all held requests. */
	void refuseAll() {
		List.copyOf(this.held).forEach((early) -> {
			if (remove(early)) {
				early.request.refuse();
			}
		});
	}

	/** Returns the number of requests that are held. */
	int count() {
		return this.held.size();
	}

	private boolean remove(Held early) {
		if (!this.held.remove(early)) {
			return false;
		}
		this.heldBytes -= early.bytes;
		if (early.timeout != null) {
			early.timeout.cancel(false);
		}
		return true;
	}

	/** A request that arrived before the first routing table. */
	public interface EarlyRequest {

		/**
		 * Returns the id of the request for the log.
		 * @return the id
		 */
		String id();

		/** Handles the request now that there is a routing table. */
		void handle();

		/** Refuses the request because too little of its time is left. */
		void refuse();

	}

	private static final class Held {

		private final EarlyRequest request;

		private final long bytes;

		private @Nullable Future<?> timeout;

		Held(EarlyRequest request, long bytes) {
			this.request = request;
			this.bytes = bytes;
		}

	}

}
