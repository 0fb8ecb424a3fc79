package org.zinniatack.gateway.service;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.EventExecutor;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.pace.HeldPermits;
import org.zinniatack.gateway.target.SendPermits;
import org.zinniatack.wire.Message;

/**
 * The permits of an entry, which it asks the leader for when a request finds none. All
 * methods must be called on the event loop.
 */
final class EntryPermits implements SendPermits {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final EventExecutor loop;

	private final BiPredicate<TargetNotice, Long> needsPermit;

	private final Function<Message, CompletableFuture<Message>> leader;

	private final LongSupplier clockMs;

	private final Runnable onGranted;

	private final HeldPermits held = new HeldPermits();

	/**
	 * Creates an entry's permits, of which there are none yet.
	 * @param loop the event loop
	 * @param needsPermit returns whether a target is cold at a time and its pool has a
	 * bound
	 * @param leader sends a request that the leader answers
	 * @param clockMs the monotonic clock, in milliseconds
	 * @param onGranted called when permits have arrived
	 */
	EntryPermits(EventExecutor loop, BiPredicate<TargetNotice, Long> needsPermit,
			Function<Message, CompletableFuture<Message>> leader, LongSupplier clockMs, Runnable onGranted) {
		this.loop = loop;
		this.needsPermit = needsPermit;
		this.leader = leader;
		this.clockMs = clockMs;
		this.onGranted = onGranted;
	}

	@Override
	public boolean isAvailable(TargetNotice target, long nowMs) {
		return !this.needsPermit.test(target, nowMs) || this.held.isAvailable(target.id(), target.bornMs(), nowMs);
	}

	@Override
	public boolean take(TargetNotice target, long nowMs) {
		return !this.needsPermit.test(target, nowMs) || this.held.take(target.id(), target.bornMs(), nowMs);
	}

	@Override
	public boolean request(TargetNotice target, long nowMs) {
		int count = this.held.countToRequest(target.id(), target.bornMs(), nowMs);
		if (count > 0) {
			send(target, count, nowMs);
		}
		return count > 0 || this.held.awaitsReply(target.id(), target.bornMs(), nowMs);
	}

	private void send(TargetNotice target, int count, long nowMs) {
		this.leader.apply(new Message.ColdPermitRequest(target.id(), target.bornMs(), count, false))
			.whenComplete((reply, failure) -> {
				int granted = (reply instanceof Message.ColdPermits permits) ? permits.count() : 0;
				this.loop.execute(() -> onReply(target, count, granted, nowMs));
			});
	}

	private void onReply(TargetNotice target, int asked, int granted, long requestedAtMs) {
		long nowMs = this.clockMs.getAsLong();
		LOGGER.atInfo()
			.log("event=cold_permits target=%s pool=%s asked=%d granted=%d after_ms=%d", target.id(), target.pool(),
					asked, granted, nowMs - requestedAtMs);
		if (this.held.onReply(target.id(), target.bornMs(), granted, requestedAtMs, nowMs)) {
			this.onGranted.run();
		}
	}

}
