package org.zinniatack.gateway.suspect;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.zinniatack.core.directory.TargetNotice;

/**
 * Finds out whether a target ended when connections to it were lost: a target that has
 * ended refuses the next connection, or is replaced by another start at its address. A
 * reset connection or a broken network alone is no evidence. A target that only fell
 * silent is not asked, since slow ones are silent as well; it has ended if another start
 * replaces it before it responds to anything. All methods must be called on the event
 * loop.
 */
final class EndedTargets {

	/** A process that ends closes its sockets one after the other. */
	private static final long PROBE_DELAY_MS = 30;

	/** The shortest time between two probes of a target that loses connections. */
	private static final long PROBE_INTERVAL_MS = 500;

	private static final int CONNECT_TIMEOUT_MS = 400;

	/** Time for the next start at the address to be announced. */
	private static final long EVIDENCE_TIMEOUT_MS = 10_000;

	private static final int MAXIMUM_TARGETS = 64;

	/** Two for each of the requests that a target may have run. */
	private static final int MAXIMUM_DIGESTS = 512;

	private final EventLoop loop;

	private final BiConsumer<String, String> onLost;

	private final Map<String, OpenCase> casesByStart = new LinkedHashMap<>();

	/**
	 * Creates a checker without open cases.
	 * @param loop the event loop
	 * @param onLost accepts the digest of each request that a target ran when it ended,
	 * and the start of the target
	 */
	EndedTargets(EventLoop loop, BiConsumer<String, String> onLost) {
		this.loop = loop;
		this.onLost = onLost;
	}

	/** Records that the connection with a request to a target was lost. */
	void connectionLost(String digest, TargetNotice target) {
		caseOf(target).addLost(digest);
	}

	/** Records that nobody waits any longer for a target's response to a request. */
	void givenUp(String digest, TargetNotice target) {
		caseOf(target).addGivenUp(digest);
	}

	/** Records that a target responded to a request. */
	void responded(TargetNotice target) {
		if (!this.casesByStart.isEmpty()) {
			OpenCase open = this.casesByStart.get(startOf(target));
			if (open != null) {
				open.givenUpAtMsByDigest.clear();
			}
		}
	}

	private OpenCase caseOf(TargetNotice target) {
		String start = startOf(target);
		OpenCase open = this.casesByStart.get(start);
		if (open == null) {
			open = new OpenCase(start, target);
			removeOldest();
			this.casesByStart.put(start, open);
		}
		return open;
	}

	private static String startOf(TargetNotice target) {
		return target.id() + '@' + target.bornMs();
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private void removeOldest() {
		Iterator<OpenCase> oldestFirst = this.casesByStart.values().iterator();
		while (oldestFirst.hasNext()) {
			if (oldestFirst.next().isExpired() || this.casesByStart.size() >= MAXIMUM_TARGETS) {
				oldestFirst.remove();
			}
		}
	}

	/** Records that a target has started. */
	void targetStarted(TargetNotice target) {
		if (!this.casesByStart.isEmpty()) {
			List.copyOf(this.casesByStart.values()).forEach((open) -> open.compareWith(target));
		}
	}

	/** Removes a request that a target has answered meanwhile. */
	void answered(String digest) {
		this.casesByStart.values().forEach((open) -> open.remove(digest));
	}

	/** Returns the digests of the requests whose targets may have ended. */
	Set<String> digests() {
		Set<String> digests = new LinkedHashSet<>();
		this.casesByStart.values().forEach((open) -> digests.addAll(open.digests()));
		return digests;
	}

	/** A target that may have ended. */
	private final class OpenCase {

		private final String start;

		private final TargetNotice target;

		private final Map<String, Long> lostAtMsByDigest = new LinkedHashMap<>();

		private final Map<String, Long> givenUpAtMsByDigest = new LinkedHashMap<>();

		private long lastLossAtMs;

		private long probedAtMs = Long.MIN_VALUE / 2;

		private boolean probing;

		private boolean ended;

		OpenCase(String start, TargetNotice target) {
			this.start = start;
			this.target = target;
		}

		void addLost(String digest) {
			if (add(digest, this.lostAtMsByDigest)) {
				probeSoon();
			}
		}

		void addGivenUp(String digest) {
			add(digest, this.givenUpAtMsByDigest);
		}

		/** Returns false if the target is already known to have ended. */
		private boolean add(String digest, Map<String, Long> atMsByDigest) {
			this.lastLossAtMs = nowMs();
			if (this.ended) {
				EndedTargets.this.onLost.accept(digest, this.start);
				return false;
			}
			atMsByDigest.values().removeIf(this::isOld);
			if (atMsByDigest.size() < MAXIMUM_DIGESTS) {
				atMsByDigest.put(digest, this.lastLossAtMs);
			}
			return true;
		}

		void remove(String digest) {
			this.lostAtMsByDigest.remove(digest);
			this.givenUpAtMsByDigest.remove(digest);
		}

		Set<String> digests() {
			Set<String> digests = new LinkedHashSet<>(this.lostAtMsByDigest.keySet());
			digests.addAll(this.givenUpAtMsByDigest.keySet());
			return digests;
		}

		private boolean isOld(long lostAtMs) {
			return nowMs() - lostAtMs > EVIDENCE_TIMEOUT_MS;
		}

		private void probeSoon() {
			if (!this.probing) {
				this.probing = true;
				long delayMs = Math.max(PROBE_DELAY_MS, this.probedAtMs + PROBE_INTERVAL_MS - nowMs());
				EndedTargets.this.loop.schedule(this::probe, delayMs, TimeUnit.MILLISECONDS);
			}
		}

		private void probe() {
			this.probedAtMs = nowMs();
			if (this.ended || this.lostAtMsByDigest.isEmpty()) {
				this.probing = false;
				return;
			}
			String address = this.target.address();
			int colon = address.lastIndexOf(':');
			ChannelFuture connecting = new Bootstrap().group(EndedTargets.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
				.handler(new ChannelInboundHandlerAdapter())
				.connect(new InetSocketAddress(address.substring(0, colon),
						Integer.parseInt(address.substring(colon + 1))));
			long probedLossAtMs = this.lastLossAtMs;
			connecting.addListener((connected) -> {
				this.probing = false;
				if (connected.isSuccess()) {
					connecting.channel().close();
				}
				else if (isRefused(connected.cause())) {
					end();
				}
				if (!this.ended && this.lastLossAtMs > probedLossAtMs) {
					probeSoon();
				}
			});
		}

		private static boolean isRefused(Throwable cause) {
			return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
		}

		void compareWith(TargetNotice other) {
			if (!isExpired() && other.address().equals(this.target.address())
					&& other.bornMs() > this.target.bornMs()) {
				end();
			}
		}

		boolean isExpired() {
			return isOld(this.lastLossAtMs);
		}

		private void end() {
			if (!this.ended) {
				this.ended = true;
				this.lostAtMsByDigest.values().removeIf(this::isOld);
				this.givenUpAtMsByDigest.values().removeIf(this::isOld);
				Set<String> lost = digests();
				this.lostAtMsByDigest.clear();
				this.givenUpAtMsByDigest.clear();
				lost.forEach((digest) -> EndedTargets.this.onLost.accept(digest, this.start));
			}
		}

	}

}
