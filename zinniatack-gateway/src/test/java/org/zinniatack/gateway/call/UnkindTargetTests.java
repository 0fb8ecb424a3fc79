package org.zinniatack.gateway.call;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.http.ScriptedProtocol;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.http.WireTarget;
import org.zinniatack.gateway.target.TargetSelector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Random tests of {@link CallDispatcher} and {@link TargetClient} with targets that send
 * responses twice, in part or followed by other bytes. The system property
 * {@code unkind.seeds} sets the seeds, such as 1-60.
 */
class UnkindTargetTests {

	private static final long WAIT_S = 10;

	private static final int TARGET_COUNT = 3;

	private static final int ROUND_COUNT = 60;

	/** Few ids, so that they come again on the same connections. */
	private static final int ID_COUNT = 12;

	private static final int CALLS_PER_ROUND = 6;

	private static final long TIMEOUT_MS = 250;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final ScriptedProtocol protocol = new ScriptedProtocol();

	private final TargetClient client = new TargetClient(this.loop, this.protocol);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	// Guards against a response that is not the caller's own, not whole, or wrongly
	// called not run.
	@Test
	void eachCallGetsAWholeResponseThatATargetGaveToIt() throws Exception {
		String[] range = System.getProperty("unkind.seeds", "1-2").split("-");
		for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
			UnkindTarget target = new UnkindTarget(seed);
			List<WireTarget> wireTargets = new ArrayList<>();
			for (int number = 0; number < TARGET_COUNT; number++) {
				wireTargets.add(new WireTarget(target));
			}
			Map<PlayedCall, String> outcomes = play(new Random(seed), wireTargets);
			assertThat("seed " + seed, violations(target, outcomes), is(empty()));
			assertThat("seed " + seed, target.alteredRequests(), is(empty()));
			assertThat(outcomes.values().stream().filter((outcome) -> outcome.startsWith("200")).count(),
					greaterThan((long) ROUND_COUNT));
			for (WireTarget wireTarget : wireTargets) {
				wireTarget.close();
			}
		}
	}

	private Map<PlayedCall, String> play(Random random, List<WireTarget> wireTargets) throws Exception {
		Map<PlayedCall, String> outcomes = new LinkedHashMap<>();
		List<String> ids = new ArrayList<>(IntStream.range(0, ID_COUNT).mapToObj((id) -> "r" + id).toList());
		for (int round = 0; round < ROUND_COUNT; round++) {
			CallDispatcher dispatcher = dispatcher(round, wireTargets);
			Collections.shuffle(ids, random);
			Map<PlayedCall, CompletableFuture<String>> running = new LinkedHashMap<>();
			for (String id : ids.subList(0, 1 + random.nextInt(CALLS_PER_ROUND))) {
				PlayedCall call = new PlayedCall(id, "%s-%d".formatted(id, round),
						random.nextBoolean() ? RouteKind.IDEMPOTENT : RouteKind.AT_MOST_ONCE);
				CompletableFuture<String> outcome = new CompletableFuture<>();
				running.put(call, outcome);
				this.loop.execute(() -> dispatcher.dispatch(call.toCall(), new TextSink(outcome)));
			}
			for (Map.Entry<PlayedCall, CompletableFuture<String>> entry : running.entrySet()) {
				outcomes.put(entry.getKey(), entry.getValue().get(WAIT_S, TimeUnit.SECONDS));
			}
		}
		return outcomes;
	}

	/** Returns a dispatcher for which no target has failed yet. */
	private CallDispatcher dispatcher(int round, List<WireTarget> wireTargets) {
		List<TargetNotice> targets = wireTargets.stream()
			.map((target) -> new TargetNotice("t%d-%s".formatted(round, target.address()), 1, 1, "p", target.address(),
					"a", TargetNotice.State.READY, 64, Map.of()))
			.toList();
		return new CallDispatcher(this.loop, this.client, this.protocol,
				new TargetSelector((pool) -> targets, "a", this.client::hasIdleConnection, (target) -> {
				}));
	}

	private static List<String> violations(UnkindTarget target, Map<PlayedCall, String> outcomes) {
		List<String> violations = new ArrayList<>();
		outcomes.forEach((call, outcome) -> {
			long runCount = target.given(call.tag).stream().filter(UnkindTarget.Given::run).count();
			boolean answered = target.given(call.tag).stream().anyMatch((given) -> given.text().equals(outcome));
			if (!outcome.startsWith("refused ") && !answered) {
				violations.add("%s got \"%.40s\", but was given %s".formatted(call, outcome, target.given(call.tag)));
			}
			boolean notRun = outcome.equals("refused " + Outcome.NOT_RUN) || outcome.startsWith("503 ");
			if (notRun && runCount > 0) {
				violations.add("%s is called not run, but was given %s".formatted(call, target.given(call.tag)));
			}
			if (call.kind == RouteKind.AT_MOST_ONCE && runCount > 1) {
				violations.add("%s ran %d times".formatted(call, runCount));
			}
		});
		return violations;
	}

	/**
	 * A call of the test.
	 *
	 * @param id its id, which other calls have had
	 * @param tag a header that no other call has
	 * @param kind the kind of its route
	 */
	private record PlayedCall(String id, String tag, RouteKind kind) {

		Call toCall() {
			Route route = new Route("r", "h", "/", this.kind, false, true, TIMEOUT_MS, TIMEOUT_MS, 0, 2,
					List.of(new PoolShare("p", 1)), 0, 0, false);
			return new Call(this.id, route, "customer", HttpMethod.POST, "/x",
					new DefaultHttpHeaders().set("id", this.id).set("call", this.tag),
					UnkindTarget.requestBody(this.tag).getBytes(StandardCharsets.ISO_8859_1), TIMEOUT_MS);
		}

	}

	/** Reports the outcome as text. */
	private static final class TextSink implements CallSink {

		private final CompletableFuture<String> outcome;

		TextSink(CompletableFuture<String> outcome) {
			this.outcome = outcome;
		}

		@Override
		public void answer(HttpResponse head, ByteBuf body) {
			this.outcome.complete("%d %s %s".formatted(head.status().code(), head.headers().get("seal"),
					body.toString(StandardCharsets.ISO_8859_1)));
			body.release();
		}

		@Override
		public void refuse(ResultCode code, long retryAfterMs) {
			this.outcome.complete("refused " + code.outcome());
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
			// The targets record what they ran.
		}

	}

}
