package org.zinniatack.gateway.service;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.control.ControlService;
import org.zinniatack.control.Platform;
import org.zinniatack.control.SeededControlSettings;
import org.zinniatack.core.directory.TargetNotice;
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

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests of three control processes and two entries with a request that crashes each
 * target that begins to run it and comes again under new ids.
 */
class RepeatedCrashTests {

	private static final long TIMEOUT_MS = 20_000;

	private static final long POLL_MS = 20;

	private static final int TARGETS = 6;

	/** Shorter than on a real machine, so that there are always targets to crash. */
	private static final long RESTART_MS = 200;

	private static final int TRIES = 10;

	private static final long BETWEEN_TRIES_MS = 350;

	/** The retries after the crash of the third target that may still reach a target. */
	private static final int ALLOWED_RETRIES = 3;

	private static final int PORT = 19_731;

	private static final String SECRET = "secret-of-this-test-only";

	private static final Route ROUTE = new Route("r", "h", "/", RouteKind.IDEMPOTENT, false, true, 2_000, 500, 0, 2,
			List.of(new PoolShare("p", 1)), 0, 0, false);

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

	@TempDir
	private Path folder;

	@BeforeEach
	void start() throws Exception {
		List<CompletableFuture<Void>> starts = new ArrayList<>();
		for (int n = 1; n <= 3; n++) {
			ControlService control = new ControlService(controlSettings(n), Platform.none());
			this.controls.add(control);
			starts.add(CompletableFuture.runAsync(() -> start(control)));
		}
		CompletableFuture.allOf(starts.toArray(CompletableFuture[]::new)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		RoutingTable table = new RoutingTable(1, List.of(ROUTE), Map.of("p", new Pool("p", 100, 0, List.of())),
				List.of(), new CallerLimits(1024, 1024, 1_000, 1_000));
		await(() -> this.controls.get(0)
			.propose(new Command.ReplaceTable(table, new byte[] { 1 }))
			.handle((reply, failure) -> failure == null)
			.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
		startGateway(1);
		startGateway(2);
		for (int n = 1; n <= TARGETS; n++) {
			this.targets.add(new CrashingTarget("t" + n, RESTART_MS, this::announce));
		}
		this.announcer.scheduleWithFixedDelay(() -> this.targets.forEach(CrashingTarget::announce), 1, 1,
				TimeUnit.SECONDS);
		for (GatewayService gateway : this.gateways) {
			await(() -> gateway.isReady() && onLoop(() -> gateway.readyTargets("p").size()) == TARGETS);
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

	private void startGateway(int number) {
		GatewayService gateway = new GatewayService(new GatewaySettings("gateway-" + number, "a", "127.0.0.1:0",
				"127.0.0.1:0", "127.0.0.1:0", seeds(), PORT, SECRET, 5, 500, 1, false), this.loop,
				new ScriptedProtocol());
		this.gateways.add(gateway);
		gateway.start();
	}

	@AfterEach
	void stop() throws Exception {
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

	private static void await(Condition<Boolean> condition) throws Exception {
		long startedNs = System.nanoTime();
		while (!condition.value()) {
			if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) > TIMEOUT_MS) {
				throw new IllegalStateException("a condition was not met within " + TIMEOUT_MS + " ms");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	/** Sends a request and returns the code of its refusal, or OK for an answer. */
	private ResultCode send(GatewayService gateway, String path, String id) throws Exception {
		CompletableFuture<ResultCode> outcome = new CompletableFuture<>();
		Call call = new Call(id, ROUTE, null, HttpMethod.POST, path, new DefaultHttpHeaders().set("id", id),
				"body".getBytes(StandardCharsets.US_ASCII), 1_500);
		this.loop.execute(() -> gateway.dispatcher().dispatch(call, new CodeSink(outcome)));
		return outcome.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private String newId() {
		return "id" + this.lastId.incrementAndGet();
	}

	/** Returns the ids of the requests that have crashed targets. */
	private List<String> crashes() {
		return this.targets.stream().flatMap((target) -> target.crashes().stream()).toList();
	}

	// A request that crashes targets came again at any entry and was sent on without an
	// end.
	@Test
	void aRequestThatCrashedThreeTargetsReachesNoFurtherOnesUnderNewIds() throws Exception {
		Set<String> lateIds = new HashSet<>();
		ResultCode last = ResultCode.OK;
		for (int n = 0; n < TRIES; n++) {
			boolean late = crashes().size() >= 3;
			String id = newId();
			last = send(this.gateways.get(n % 2), CrashingTarget.CRASH_PATH, id);
			if (late && crashes().contains(id)) {
				lateIds.add(id);
			}
			TimeUnit.MILLISECONDS.sleep(BETWEEN_TRIES_MS);
		}
		assertThat(crashes(), hasSize(greaterThan(2)));
		assertThat(lateIds, hasSize(lessThanOrEqualTo(ALLOWED_RETRIES)));
		assertThat(last, is(ResultCode.QUARANTINED));
		assertThat(send(this.gateways.get(0), "/other", newId()), is(ResultCode.OK));
	}

	// A quarantine that one process knows is lost with that process.
	@Test
	void anEntryThatStartsLaterKnowsTheQuarantineThoughAControlProcessIsLost() throws Exception {
		quarantineAtFirstGateway();
		this.controls.remove(2).stop();
		startGateway(3);
		GatewayService started = this.gateways.get(2);
		await(() -> started.isReady() && onLoop(() -> started.readyTargets("p").size()) > 0);
		int crashes = crashes().size();
		assertThat(send(started, CrashingTarget.CRASH_PATH, newId()), is(ResultCode.QUARANTINED));
		assertThat(crashes(), hasSize(crashes));
	}

	private void quarantineAtFirstGateway() throws Exception {
		await(() -> {
			boolean quarantined = send(this.gateways.get(0), CrashingTarget.CRASH_PATH,
					newId()) == ResultCode.QUARANTINED;
			TimeUnit.MILLISECONDS.sleep(BETWEEN_TRIES_MS);
			return quarantined;
		});
	}

	// A request whose connections are reset by targets that go on is taken for one that
	// crashes them.
	@Test
	void aRequestWhoseConnectionsAreResetByRunningTargetsIsNeverQuarantined() throws Exception {
		for (int n = 0; n < TRIES; n++) {
			assertThat(send(this.gateways.get(n % 2), CrashingTarget.RESET_PATH, newId()),
					is(ResultCode.OUTCOME_UNKNOWN));
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(suspicions(), is(empty()));
	}

	private List<Suspicion> suspicions() throws Exception {
		return this.controls.get(0)
			.readApplied((state) -> state.lostRequests().all())
			.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	// Requests that run beside one that crashes their targets are quarantined with it.
	@Test
	void requestsThatShareTheTargetsOfOneThatCrashesThemAreServedAgain() throws Exception {
		AtomicBoolean stopped = new AtomicBoolean();
		List<ResultCode> codes = new CopyOnWriteArrayList<>();
		List<Thread> others = new ArrayList<>();
		for (int n = 0; n < 8; n++) {
			GatewayService gateway = this.gateways.get(n % 2);
			String path = "/other" + n / 4;
			Thread thread = new Thread(() -> sendUntil(stopped, gateway, path, codes));
			thread.start();
			others.add(thread);
		}
		for (int n = 0; n < TRIES; n++) {
			send(this.gateways.get(n % 2), CrashingTarget.CRASH_PATH, newId());
			TimeUnit.MILLISECONDS.sleep(BETWEEN_TRIES_MS);
		}
		stopped.set(true);
		for (Thread other : others) {
			other.join(TIMEOUT_MS);
		}
		assertThat(codes, not(hasItem(ResultCode.QUARANTINED)));
		assertThat(codes.get(codes.size() - 1), is(ResultCode.OK));
		await(() -> suspicions().size() == 1);
	}

	private void sendUntil(AtomicBoolean stopped, GatewayService gateway, String path, List<ResultCode> codes) {
		try {
			while (!stopped.get()) {
				codes.add(send(gateway, path, newId()));
			}
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** A value that is read, or a condition. */
	private interface Condition<T> {

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
			throw new IllegalStateException("no streams here");
		}

		@Override
		public boolean continueStream(ByteBuf content) {
			throw new IllegalStateException("no streams here");
		}

		@Override
		public void endStream() {
			throw new IllegalStateException("no streams here");
		}

		@Override
		public void breakStream() {
			throw new IllegalStateException("no streams here");
		}

		@Override
		public void executionStarted() {
			// The tests do not check when execution starts.
		}

	}

}
