package org.zinniatack.gateway.call;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.http.Exchange;
import org.zinniatack.gateway.http.HttpListener;
import org.zinniatack.gateway.http.ScriptedProtocol;
import org.zinniatack.gateway.http.ScriptedTarget;
import org.zinniatack.gateway.http.StreamTarget;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.target.TargetSelector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of the bytes that a caller receives when its stream breaks off, from the targets
 * through {@link CallDispatcher} and {@link Exchange} to the socket.
 */
class StreamOnTheWireTests {

	private static final int TIMEOUT_MS = 10_000;

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String CUT_STREAM = "HTTP/1.1 200 OK\r\nid: r\r\nseal: first\r\n\r\n"
			+ StreamTarget.events(1, 2) + "id: 3\nda" + ScriptedTarget.THEN_HANG_UP;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final List<TargetNotice> readyTargets = new ArrayList<>();

	private final ScriptedProtocol protocol = new ScriptedProtocol();

	private final CallDispatcher dispatcher = new CallDispatcher(this.loop, new TargetClient(this.loop, this.protocol),
			this.protocol, new TargetSelector((pool) -> this.readyTargets, "a", (address) -> true, (target) -> {
			}));

	private final HttpListener listener = new HttpListener(this.group,
			() -> new CallerLimits(16_384, 1_000_000, 5_000, 5_000), this::handle);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private void handle(Exchange exchange) {
		boolean resumable = exchange.path().equals("/resumable");
		Route route = new Route("r", "h", "/", RouteKind.STREAM, resumable, true, 5_000, 5_000, 0, 2,
				List.of(new PoolShare("p", 1)), 0, 0, false);
		Call call = new Call("r", route, "customer", exchange.method(), exchange.uri(),
				new DefaultHttpHeaders().set("id", "r"), exchange.body(), 5_000);
		exchange.onCallerDisconnected(this.dispatcher.dispatch(call, new ExchangeSink(exchange)));
	}

	private ScriptedTarget target(String id, String script) throws IOException {
		ScriptedTarget target = new ScriptedTarget(script);
		this.readyTargets
			.add(new TargetNotice(id, 1, 1, "p", target.address(), "a", TargetNotice.State.READY, 4, Map.of()));
		return target;
	}

	/** Returns all bytes up to the last chunk or the end of the connection. */
	private String read(String path) throws Exception {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.listener.open("127.0.0.1:0"))) {
			socket.setSoTimeout(TIMEOUT_MS);
			socket.getOutputStream()
				.write(("POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			InputStream input = socket.getInputStream();
			StringBuilder received = new StringBuilder();
			for (int next = input.read(); next >= 0; next = input.read()) {
				received.append((char) next);
				if (received.toString().endsWith("\r\n" + LAST_CHUNK)) {
					break;
				}
			}
			return received.toString();
		}
	}

	private static String chunk(String content) {
		return "%x\r\n%s\r\n".formatted(content.length(), content);
	}

	@Test
	void aStreamThatMayNotBeResumedEndsWithoutALastChunkAfterWholeEvents() throws Exception {
		try (ScriptedTarget first = target("t1", CUT_STREAM)) {
			String received = read("/plain");
			assertThat(received, startsWith("HTTP/1.1 200 OK\r\n"));
			assertThat(received.substring(received.indexOf("\r\n\r\n") + 4), is(chunk(StreamTarget.events(1, 2))));
		}
	}

	// Callers found the text of an error, or its head, in the middle of their stream.
	@Test
	void aStreamWhoseNextTargetFailsEndsWithoutALastChunkAndWithoutTheError() throws Exception {
		try (ScriptedTarget first = target("t1", CUT_STREAM);
				ScriptedTarget second = target("t2",
						"HTTP/1.1 500 Bad\r\nid: r\r\nseal: second\r\nContent-Length: 7\r\n\r\nfailure")) {
			String received = read("/resumable");
			assertThat(received.substring(received.indexOf("\r\n\r\n") + 4), is(chunk(StreamTarget.events(1, 2))));
			assertThat(second.requests().get(0), containsString("after: 2"));
		}
	}

	@Test
	void aResumedStreamHasTheHeadOfItsFirstTargetAndOneLastChunk() throws Exception {
		try (ScriptedTarget first = target("t1", CUT_STREAM);
				ScriptedTarget second = target("t2",
						ScriptedTarget.answer("r", "seal: second\r\n", StreamTarget.events(3, 4)))) {
			String received = read("/resumable");
			assertThat(received, containsString("seal: first\r\n"));
			assertThat(received, not(containsString("seal: second")));
			assertThat(received.substring(received.indexOf("\r\n\r\n") + 4),
					is(chunk(StreamTarget.events(1, 2)) + chunk(StreamTarget.events(3, 4)) + LAST_CHUNK));
		}
	}

	/** Writes the outcome of a call to an exchange. */
	private record ExchangeSink(Exchange exchange) implements CallSink {

		@Override
		public void answer(HttpResponse head, ByteBuf body) {
			this.exchange.respond(head.status(), new DefaultHttpHeaders(), body);
		}

		@Override
		public void refuse(ResultCode code, long retryAfterMs) {
			this.exchange.respondJson(HttpResponseStatus.BAD_GATEWAY.code(), "{}");
		}

		@Override
		public void beginStream(HttpResponse head) {
			this.exchange.begin(head.status(), head.headers());
		}

		@Override
		public boolean continueStream(ByteBuf content) {
			this.exchange.write(content.retain());
			return true;
		}

		@Override
		public void endStream() {
			this.exchange.finish();
		}

		@Override
		public void breakStream() {
			this.exchange.abort();
		}

		@Override
		public void executionStarted() {
			// The tests do not check when execution starts.
		}

	}

}
