package org.zinniatack.gateway.service;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.ControlService;
import org.zinniatack.control.Platform;
import org.zinniatack.control.SeededControlSettings;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Suspicion;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.Pool;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.gateway.call.Call;
import org.zinniatack.gateway.call.CallSink;
import org.zinniatack.gateway.http.ScriptedProtocol;

/**
 * Three control processes, two entries and targets that requests end.
 */
final class CrashingSystem implements AutoCloseable {

	private static final long TIMEOUT_MS = 20_000;

	private static final long POLL_MS = 20;

	/** Shorter than on a real machine, so that there are always targets to crash. */
	private static final long RESTART_MS = 200;

	static final long BETWEEN_TRIES_MS = 350;

	private static final int PORT = 19_731;

	private static final String SECRET = "secret-of-this-test-only";

	/** An own loopback network for each run, so that the port is always free. */
	private final String net = "127.%d.%d.".formatted(ThreadLocalRandom.current().nextInt(30, 250),
			ThreadLocalRandom.current().nextInt(250));

	private final List<ControlService> controls = new ArrayList<>();

	private final List<GatewayService> gateways = new ArrayList<>();

	private final List<CrashingTarget> targets = new ArrayList<>();

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final ScheduledExecutorService announcer = Executors.newSingleThreadScheduledExecutor();

	private final AtomicInteger lastId = new AtomicInteger();

	private final Path folder;

	/** Starts the processes and waits until the entries know all targets. */
	CrashingSystem(Path folder, int targetCount) throws Exception {
		this.folder = folder;
		List<CompletableFuture<Void>> starts = new ArrayList<>();
		for (int n = 1; n <= 3; n++) {
			ControlService control = new ControlService(controlSettings(n), Platform.none());
			this.controls.add(control);
			starts.add(CompletableFuture.runAsync(() -> start(control)));
		}
		CompletableFuture.allOf(starts.toArray(CompletableFuture[]::new)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		RoutingTable table = new RoutingTable(1, List.of(route(RouteKind.IDEMPOTENT)),
				Map.of("p", new Pool("p", 100, 0, List.of())), List.of(), new CallerLimits(1024, 1024, 1_000, 1_000));
		await(() -> this.controls.get(0)
			.propose(new Command.ReplaceTable(table, new byte[] { 1 }))
			.handle((reply, failure) -> failure == null)
			.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
		startGateway(1);
		startGateway(2);
		for (int n = 1; n <= targetCount; n++) {
			this.targets.add(new CrashingTarget("t" + n, RESTART_MS, this::announce));
		}
		this.announcer.scheduleWithFixedDelay(() -> this.targets.forEach(CrashingTarget::announce), 1, 1,
				TimeUnit.SECONDS);
		for (GatewayService gateway : this.gateways) {
			awaitTargets(gateway, targetCount);
		}
	}

	private void announce(TargetNotice notice) {
		this.controls.get(0).directory().announce(notice);
	}

	private static void start(ControlService control) {
		try {
			control.start();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private SeededControlSettings controlSettings(int number) {
		String address = this.net + number + ":" + PORT;
		return new SeededControlSettings("control-" + number, "a", this.folder.resolve("c" + number).toString(),
				address, address, address, seeds(), true, 1, SECRET, "", 5, 0, 120, 1);
	}

	private List<String> seeds() {
		return List.of(this.net + "1:1", this.net + "2:1", this.net + "3:1");
	}

	/** Starts an entry and returns it. */
	private GatewayService startGateway(int number) {
		GatewayService gateway = new GatewayService(new GatewaySettings("gateway-" + number, "a", "127.0.0.1:0",
				"127.0.0.1:0", "127.0.0.1:0", seeds(), PORT, SECRET, 5, 500, 1, false), this.loop,
				new ScriptedProtocol());
		this.gateways.add(gateway);
		gateway.start();
		return gateway;
	}

	private void awaitTargets(GatewayService gateway, int minimum) throws Exception {
		await(() -> gateway.isReady() && onLoop(() -> gateway.readyTargets("p").size()) >= minimum);
	}

	/** Starts a third entry, which waits for its first target. */
	void startEntry() throws Exception {
		awaitTargets(startGateway(3), 1);
	}

	/** Ends one control process. */
	void loseControlProcess() {
		this.controls.remove(2).stop();
	}

	@Override
	public void close() throws Exception {
		this.announcer.shutdownNow();
		for (CrashingTarget target : this.targets) {
			target.close();
		}
		this.gateways.forEach(GatewayService::stop);
		this.controls.forEach(ControlService::stop);
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private <T> T onLoop(Condition<T> read) throws Exception {
		return this.loop.submit(read::value).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	static void await(Condition<Boolean> condition) throws Exception {
		long startedNs = System.nanoTime();
		while (!condition.value()) {
			if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) > TIMEOUT_MS) {
				throw new IllegalStateException("a condition was not met within " + TIMEOUT_MS + " ms");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	static Route route(RouteKind kind) {
		return new Route("r", "h", "/", kind, false, true, 2_000, 500, 0, 2, List.of(new PoolShare("p", 1)), 0, 0,
				false);
	}

	/** Returns the same call with an API key. */
	static Call withKey(Call call, String key) {
		return new Call(call.requestId(), call.route(), call.customer(), call.method(), call.uri(), call.headers(),
				call.body(), call.deadlineMs(), Sha256Digest.of(key));
	}

	/** Returns a call under a new id. */
	Call call(RouteKind kind, @Nullable String customer, String path) {
		String id = "id" + this.lastId.incrementAndGet();
		return new Call(id, route(kind), customer, HttpMethod.POST, path,
				new DefaultHttpHeaders().set("id", id).set("Host", "h"), "body".getBytes(StandardCharsets.US_ASCII),
				1_500);
	}

	/** Sends a call without a customer. */
	ResultCode send(int entry, String path) throws Exception {
		return send(entry, call(RouteKind.IDEMPOTENT, null, path));
	}

	/** Sends a call and returns the code of its refusal, or OK for an answer. */
	ResultCode send(int entry, Call call) throws Exception {
		CompletableFuture<ResultCode> outcome = new CompletableFuture<>();
		this.loop.execute(() -> this.gateways.get(entry).dispatcher().dispatch(call, new CodeSink(outcome)));
		return outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends calls at both entries in turn, and returns how many of them ended targets
	 * though three had ended before.
	 */
	int lateCrashes(int tries, IntFunction<Call> calls) throws Exception {
		Set<String> lateIds = new HashSet<>();
		for (int n = 0; n < tries; n++) {
			boolean late = crashes().size() >= 3;
			Call call = calls.apply(n);
			send(n % 2, call);
			if (late && crashes().contains(call.requestId())) {
				lateIds.add(call.requestId());
			}
			TimeUnit.MILLISECONDS.sleep(BETWEEN_TRIES_MS);
		}
		return lateIds.size();
	}

	/** Returns the ids of the requests that have ended targets. */
	List<String> crashes() {
		return this.targets.stream().flatMap((target) -> target.crashes().stream()).toList();
	}

	/** Returns what control knows. */
	List<Suspicion> suspicions() throws Exception {
		return this.controls.get(0)
			.readApplied((state) -> state.lostRequests().all())
			.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	/** A value that is read, or a condition. */
	interface Condition<T> {

		T value() throws Exception;

	}

	/** Reports the code of a refusal, or OK. */
	private static final class CodeSink implements CallSink {

		private final CompletableFuture<ResultCode> outcome;

		CodeSink(CompletableFuture<ResultCode> outcome) {
			this.outcome = outcome;
		}

		@Override
		public void answer(HttpResponse head, ByteBuf body) {
			body.release();
			this.outcome.complete(ResultCode.OK);
		}

		@Override
		public void refuse(ResultCode code, long retryAfterMs) {
			this.outcome.complete(code);
		}

		@Override
		public void beginStream(HttpResponse head) {
			// Only the end of the stream matters.
		}

		@Override
		public boolean continueStream(ByteBuf content) {
			return true;
		}

		@Override
		public void endStream() {
			this.outcome.complete(ResultCode.OK);
		}

		@Override
		public void breakStream() {
			this.outcome.complete(ResultCode.ANSWER_CUT_SHORT);
		}

		@Override
		public void executionStarted() {
			// The tests do not check when execution starts.
		}

	}

}
