package org.zinniatack.gateway.call;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

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
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.http.ScriptedProtocol;
import org.zinniatack.gateway.http.ScriptedTarget;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.target.TargetSelector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link CallDispatcher} with targets that never end the headers or the body of
 * a response, at full speed or in a trickle. The connection must be closed, the caller
 * must get the right result code, and memory use must stay bounded.
 */
class EndlessAnswerTests {

	private static final long WAIT_S = 20;

	private static final long TIMEOUT_MS = 1_500;

	/** Time to read the longest body in chunks of one byte. */
	private static final long LONG_TIMEOUT_MS = 15_000;

	/** The bytes that the socket buffers on both sides of a connection may hold. */
	private static final long SOCKET_BYTES = 16 * 1024 * 1024;

	private static final String SIZED = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\nContent-Length: 9000000000\r\n\r\n";

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\n\r\n";

	private static final String FAILED = "HTTP/1.1 500 Bad\r\nid: r\r\n\r\n";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final List<TargetNotice> readyTargets = new ArrayList<>();

	private final ScriptedProtocol protocol = new ScriptedProtocol();

	private final TargetClient client = new TargetClient(this.loop, this.protocol);

	private final CallDispatcher dispatcher = new CallDispatcher(this.loop, this.client, this.protocol,
			new TargetSelector((pool) -> this.readyTargets, "a", this.client::hasIdleConnection, (target) -> {
			}));

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private ScriptedTarget target(String id, String script) throws IOException {
		ScriptedTarget target = new ScriptedTarget(script);
		this.readyTargets
			.add(new TargetNotice(id, 1, 1, "p", target.address(), "a", TargetNotice.State.READY, 64, Map.of()));
		return target;
	}

	private CompletableFuture<String> call(RouteKind kind, long timeoutMs) {
		Route route = new Route("r", "h", "/", kind, false, true, timeoutMs, timeoutMs, 0, 1,
				List.of(new PoolShare("p", 1)), 0, 0, false);
		Call call = new Call("r", route, "customer", HttpMethod.POST, "/x", new DefaultHttpHeaders().set("id", "r"),
				new byte[0], timeoutMs);
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.loop.execute(() -> this.dispatcher.dispatch(call, new TextSink(outcome)));
		return outcome;
	}

	private static void awaitClosed(ScriptedTarget target) throws InterruptedException {
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
		while (target.isEndless() && System.nanoTime() < deadlineNs) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(target.isEndless(), is(false));
	}

	@Test
	void aBodyWithoutEndIsCutAtItsBoundAndIsNoSuccess() throws Exception {
		String[] answers = { ScriptedTarget.endless(SIZED, "x", ScriptedTarget.ENDLESSLY),
				ScriptedTarget.endless(CHUNKED, "1\r\nx\r\n", ScriptedTarget.ENDLESSLY),
				ScriptedTarget.endless(UNFRAMED, "x", ScriptedTarget.ENDLESSLY),
				ScriptedTarget.endless(FAILED, "x", ScriptedTarget.ENDLESSLY) };
		for (String answer : answers) {
			this.readyTargets.clear();
			try (ScriptedTarget target = target("t", answer)) {
				assertThat(call(RouteKind.AT_MOST_ONCE, LONG_TIMEOUT_MS).get(WAIT_S, TimeUnit.SECONDS),
						is("refused " + ResultCode.OUTCOME_UNKNOWN));
				awaitClosed(target);
				assertThat(target.endlessByteCount(), lessThan(6L * CallDispatcher.MAXIMUM_BODY_BYTES + SOCKET_BYTES));
			}
		}
	}

	@Test
	void aHeadWithoutEndIsCut() throws Exception {
		String[] answers = { ScriptedTarget.endless("HTTP/1.1 200 OK\r\n", "a: b\r\n", ScriptedTarget.ENDLESSLY),
				ScriptedTarget.endless("HTTP/1.1 200 OK\r\na: ", "b", ScriptedTarget.ENDLESSLY),
				ScriptedTarget.endless("", "H", ScriptedTarget.ENDLESSLY),
				ScriptedTarget.endless("", "HTTP/1.1 100 Continue\r\n\r\n", ScriptedTarget.ENDLESSLY),
				ScriptedTarget.endless("HTTP/1.1 200 OK\r\nid: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
						"a: b\r\n", ScriptedTarget.ENDLESSLY) };
		for (String answer : answers) {
			this.readyTargets.clear();
			try (ScriptedTarget target = target("t", answer)) {
				assertThat(call(RouteKind.AT_MOST_ONCE, LONG_TIMEOUT_MS).get(WAIT_S, TimeUnit.SECONDS),
						is("refused " + ResultCode.OUTCOME_UNKNOWN));
				awaitClosed(target);
				assertThat(target.endlessByteCount(), lessThan(SOCKET_BYTES));
			}
		}
	}

	@Test
	void aTrickleEndsAtTheTimeoutOfItsRoute() throws Exception {
		String[] answers = { ScriptedTarget.endless("HTTP/1.1 200 OK\r\na: ", "b", ScriptedTarget.IN_TRICKLES),
				ScriptedTarget.endless("", "\r\n", ScriptedTarget.IN_TRICKLES),
				ScriptedTarget.endless(CHUNKED, "1\r\nx\r\n", ScriptedTarget.IN_TRICKLES),
				ScriptedTarget.endless(FAILED, "x", ScriptedTarget.IN_TRICKLES) };
		for (String answer : answers) {
			this.readyTargets.clear();
			try (ScriptedTarget target = target("t", answer)) {
				long startedNs = System.nanoTime();
				assertThat(call(RouteKind.AT_MOST_ONCE, TIMEOUT_MS).get(WAIT_S, TimeUnit.SECONDS),
						is("refused " + ResultCode.DEADLINE_EXCEEDED));
				assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs), lessThan(TIMEOUT_MS + 500));
				awaitClosed(target);
			}
		}
	}

	@Test
	void manyTargetsWithoutEndAtOnceFillABoundedPartOfTheMemory() throws Exception {
		List<ScriptedTarget> endless = new ArrayList<>();
		for (int number = 0; number < 16; number++) {
			endless
				.add(target("t" + number, ScriptedTarget.endless(CHUNKED, "4\r\nxxxx\r\n", ScriptedTarget.ENDLESSLY)));
		}
		long sentBytes = 0;
		for (int round = 0; round < 4; round++) {
			List<CompletableFuture<String>> outcomes = new ArrayList<>();
			for (int number = 0; number < 16; number++) {
				outcomes.add(call(RouteKind.AT_MOST_ONCE, TIMEOUT_MS));
			}
			while (!outcomes.stream().allMatch(CompletableFuture::isDone)) {
				long currentBytes = this.loop.submit(this.dispatcher::bufferedBytes).get(WAIT_S, TimeUnit.SECONDS);
				assertThat(currentBytes, lessThanOrEqualTo((long) CallDispatcher.MAXIMUM_BUFFERED_BYTES));
				TimeUnit.MILLISECONDS.sleep(1);
			}
			for (CompletableFuture<String> outcome : outcomes) {
				assertThat(outcome.get(), startsWith("refused "));
			}
		}
		for (ScriptedTarget target : endless) {
			awaitClosed(target);
			sentBytes += target.endlessByteCount();
			target.close();
		}
		assertThat(sentBytes, greaterThan(200L * 1024 * 1024));
		assertThat(this.loop.submit(this.dispatcher::bufferedBytes).get(WAIT_S, TimeUnit.SECONDS), is(0L));
	}

	/** The sink accepts a fixed number of chunks, like a caller that stops reading. */
	@Test
	void aStreamWhoseCallerDoesNotReadIsBroken() throws Exception {
		try (ScriptedTarget target = target("t",
				ScriptedTarget.endless(CHUNKED, "9\r\ndata: x\n\n\r\n", ScriptedTarget.ENDLESSLY))) {
			assertThat(call(RouteKind.STREAM, LONG_TIMEOUT_MS).get(WAIT_S, TimeUnit.SECONDS), is("broken"));
			awaitClosed(target);
			assertThat(target.endlessByteCount(), lessThan(SOCKET_BYTES));
		}
	}

	/** Reports the outcome as text and refuses a stream after some chunks. */
	private static final class TextSink implements CallSink {

		private static final int MAXIMUM_CHUNKS = 10;

		private final CompletableFuture<String> outcome;

		private int chunkCount;

		TextSink(CompletableFuture<String> outcome) {
			this.outcome = outcome;
		}

		@Override
		public void answer(HttpResponse head, ByteBuf body) {
			body.release();
			this.outcome.complete("answered " + head.status().code());
		}

		@Override
		public void refuse(ResultCode code, long retryAfterMs) {
			this.outcome.complete("refused " + code);
		}

		@Override
		public void beginStream(HttpResponse head) {
			// The outcome is reported when the stream ends.
		}

		@Override
		public boolean continueStream(ByteBuf content) {
			return ++this.chunkCount < MAXIMUM_CHUNKS;
		}

		@Override
		public void endStream() {
			this.outcome.complete("whole");
		}

		@Override
		public void breakStream() {
			this.outcome.complete("broken");
		}

		@Override
		public void executionStarted() {
			// The tests do not check when execution starts.
		}

	}

}
