package org.zinniatack.gateway.service;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.stream.BegunStream;
import org.zinniatack.core.stream.RecordedSoftware;
import org.zinniatack.core.stream.StreamOrigin;
import org.zinniatack.core.stream.StreamOrigins;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.gateway.call.Call;
import org.zinniatack.gateway.call.StreamRegistry;
import org.zinniatack.gateway.call.TakeUp;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

/**
 * Remembers where streams began in this entry and in some control processes, which
 * outlive it. Where nobody remembers a stream, it is known where it began only if its
 * pool had a single software version for as long as streams can be taken up. So that this
 * is known wherever it is taken up, a stream begins only at a version that is recorded in
 * the replicated state.
 */
final class SharedStreamRegistry implements StreamRegistry {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** One more than the control processes that may be lost at the same time. */
	private static final int COPIES = 3;

	/** Bounds the messages to control, at the price of streams that nobody remembers. */
	private static final long SEND_INTERVAL_MS = 20;

	private static final int MAXIMUM_PER_MESSAGE = 1_000;

	private static final long FIND_TIMEOUT_MS = 250;

	/** In this time after its start an entry connects to the control processes. */
	private static final long CONNECTING_MS = 3_000;

	/** The pause before control is asked again while the entry connects. */
	private static final long ASK_AGAIN_MS = 100;

	private static final int MAXIMUM_QUESTIONS = 7;

	private final String entryName;

	private final EventLoop loop;

	private final ControlCalls control;

	private final Function<String, Set<String>> knownVersions;

	private final StreamOrigins origins = new StreamOrigins();

	/** Null while no control process has told of it; earlier versions do not. */
	private @Nullable RecordedSoftware software;

	private List<BegunStream> unsent = new ArrayList<>();

	private final long startedAtMs;

	/**
	 * Creates a registry without streams.
	 * @param entryName the name of this entry
	 * @param loop the event loop, on which it must be used
	 * @param control the control processes
	 * @param knownVersions returns the software versions of a pool that this entry knows
	 */
	SharedStreamRegistry(String entryName, EventLoop loop, ControlCalls control,
			Function<String, Set<String>> knownVersions) {
		this.entryName = entryName;
		this.loop = loop;
		this.control = control;
		this.knownVersions = knownVersions;
		this.startedAtMs = nowMs();
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private static String customerOf(Call call) {
		return Objects.requireNonNullElse(call.customer(), "");
	}

	/** Accepts the recorded software versions unless newer ones are known. */
	void accept(RecordedSoftware newest) {
		if (this.software == null || newest.index() >= this.software.index()) {
			this.software = newest;
		}
	}

	@Override
	public boolean mayBeginAt(TargetNotice target) {
		return this.software == null || this.software.contains(target.pool(), target.softwareVersion());
	}

	@Override
	public void recordBegun(Call call, StreamOrigin origin) {
		if (call.requestId().isEmpty()) {
			return;
		}
		BegunStream begun = new BegunStream(BegunStream.keyOf(customerOf(call), call.requestId()), origin);
		this.origins.record(begun, nowMs());
		if (this.unsent.isEmpty()) {
			this.loop.schedule(this::sendUnsent, SEND_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
		this.unsent.add(begun);
	}

	private void sendUnsent() {
		List<BegunStream> streams = this.unsent;
		this.unsent = new ArrayList<>();
		copies().forEach((peer) -> send(peer, streams));
	}

	private List<Peer> copies() {
		return this.control.select(this.entryName, COPIES);
	}

	private static void send(Peer peer, List<BegunStream> streams) {
		for (int first = 0; first < streams.size(); first += MAXIMUM_PER_MESSAGE) {
			peer.send(new Message.StreamsBegun(
					streams.subList(first, Math.min(streams.size(), first + MAXIMUM_PER_MESSAGE))));
		}
	}

	/** Tells a control process that was just connected to, and may have restarted. */
	void onConnected(Peer peer) {
		if (copies().contains(peer)) {
			send(peer, this.origins.all());
		}
	}

	@Override
	public CompletableFuture<Optional<StreamOrigin>> find(Call call) {
		TakeUp takeUp = Objects.requireNonNull(call.takeUp());
		if (takeUp.attemptId().isEmpty()) {
			return findOnlyVersion(call.route());
		}
		long key = BegunStream.keyOf(customerOf(call), takeUp.attemptId());
		Optional<StreamOrigin> own = this.origins.find(key);
		if (own.isPresent()) {
			return CompletableFuture.completedFuture(own);
		}
		return askControl(key, MAXIMUM_QUESTIONS).thenComposeAsync((origin) -> origin.isPresent()
				? CompletableFuture.completedFuture(origin) : findOnlyVersion(call.route()), this.loop);
	}

	/**
	 * Asks again while the entry may not be connected yet to a process that remembers the
	 * stream.
	 */
	private CompletableFuture<Optional<StreamOrigin>> askControl(long key, int questions) {
		return askControl(key).thenComposeAsync((origin) -> {
			boolean connecting = nowMs() - this.startedAtMs < CONNECTING_MS;
			if (origin.isPresent() || !connecting || questions <= 1) {
				return CompletableFuture.completedFuture(origin);
			}
			CompletableFuture<Optional<StreamOrigin>> later = new CompletableFuture<>();
			this.loop.schedule(() -> later.complete(Optional.empty()), ASK_AGAIN_MS, TimeUnit.MILLISECONDS);
			return later.thenCompose((none) -> askControl(key, questions - 1));
		}, this.loop);
	}

	/** Completes with the first origin, or with none once no reply is missing. */
	private CompletableFuture<Optional<StreamOrigin>> askControl(long key) {
		CompletableFuture<Optional<StreamOrigin>> found = new CompletableFuture<>();
		List<CompletableFuture<Message>> calls = this.control.callAll(new Message.FindStream(key), FIND_TIMEOUT_MS);
		AtomicInteger missing = new AtomicInteger(calls.size() + 1);
		Runnable endOne = () -> {
			if (missing.decrementAndGet() == 0) {
				found.complete(Optional.empty());
			}
		};
		calls.forEach((call) -> call.whenComplete((reply, failure) -> {
			if (reply instanceof Message.StreamFound stream && stream.origin() != null) {
				found.complete(Optional.of(stream.origin()));
			}
			endOne.run();
		}));
		endOne.run();
		return found;
	}

	/**
	 * Returns the origin of all streams of a route, if there is only one. The control
	 * processes have heard of every version, this entry perhaps of one that they have not
	 * recorded yet.
	 */
	private CompletableFuture<Optional<StreamOrigin>> findOnlyVersion(Route route) {
		List<String> pools = route.shares()
			.stream()
			.filter((share) -> share.weight() > 0)
			.map(PoolShare::pool)
			.distinct()
			.toList();
		if (pools.size() != 1) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		String pool = pools.get(0);
		Set<String> versions = new HashSet<>(this.knownVersions.apply(pool));
		return this.control.call(new Message.ReadSoftware(pool), 0).handle((reply, failure) -> {
			if (!(reply instanceof Message.SoftwareVersions recorded)) {
				return Optional.<StreamOrigin>empty();
			}
			LOGGER.atInfo()
				.log("event=stream_origin_inferred pool=%s recorded=%s known=%s", pool, recorded.versions(), versions);
			versions.addAll(recorded.versions());
			return (versions.size() == 1) ? Optional.of(new StreamOrigin(pool, versions.iterator().next()))
					: Optional.<StreamOrigin>empty();
		});
	}

}
