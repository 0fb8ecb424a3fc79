package org.zinniatack.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link TargetClient} with targets that violate HTTP or close connections.
 */
class TargetClientTests {

	private static final long WAIT_S = 10;

	/** More than the socket buffers on both sides of a connection hold. */
	private static final int LONG_BODY_BYTES = 16 * 1024 * 1024;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final TargetClient client = new TargetClient(this.loop, new ScriptedProtocol());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	/**
	 * Sends a request. Returns the body of the response, or the failure after "not run:"
	 * or "lost:".
	 */
	private String send(String address, String id) throws Exception {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set("id", id);
		return send(address, request);
	}

	private String send(String address, FullHttpRequest request) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.loop.execute(() -> this.client.send(address, request, new Collector(outcome)));
		String result = outcome.get(WAIT_S, TimeUnit.SECONDS);
		// Waits until the connection is idle again before the next request.
		this.loop.submit(() -> {
		}).get(WAIT_S, TimeUnit.SECONDS);
		return result;
	}

	@Test
	void aConnectionServesOneRequestAfterTheOther() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.answer("1", "", "one"),
				ScriptedTarget.answer("2", "", "two"))) {
			assertThat(send(target.address(), "1"), is("one"));
			assertThat(send(target.address(), "2"), is("two"));
			assertThat(target.connectionCount(), is(1));
		}
	}

	// Guards against an order of a leader that was replaced while the connection for it
	// was
	// opened, which arrives after one of the next leader (issue 58, ONE).
	@Test
	void aRequestThatMayNotBeSentAnyMoreOnceItsConnectionIsOpenDoesNotLeave() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.answer("2", "", "two"))) {
			CompletableFuture<String> outcome = new CompletableFuture<>();
			AtomicBoolean maySend = new AtomicBoolean(true);
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
			request.headers().set("id", "1");
			this.loop.execute(() -> {
				this.client.send(target.address(), request, new Collector(outcome) {
					@Override
					public boolean maySend() {
						return maySend.get();
					}
				});
				maySend.set(false);
			});
			assertThat(outcome.get(WAIT_S, TimeUnit.SECONDS), startsWith("not run:"));
			assertThat("another request is served", send(target.address(), "2"), is("two"));
			assertThat(target.requests().size(), is(1));
		}
	}

	@Test
	void aSurplusAnswerReachesNoOtherRequest() throws Exception {
		String surplus = ScriptedTarget.answer("1", "", "one") + ScriptedTarget.answer("2", "", "stray");
		try (ScriptedTarget target = new ScriptedTarget(surplus, ScriptedTarget.answer("2", "", "two"))) {
			assertThat(send(target.address(), "1"), is("one"));
			TimeUnit.MILLISECONDS.sleep(50);
			assertThat(send(target.address(), "2"), is("two"));
			assertThat(target.connectionCount(), is(2));
		}
	}

	@Test
	void anAnswerToAnotherRequestIsLostAndEndsTheConnection() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.answer("9", "", "other"),
				ScriptedTarget.answer("2", "", "two"))) {
			assertThat(send(target.address(), "1"), startsWith("lost: the response belongs to another request"));
			assertThat(send(target.address(), "2"), is("two"));
			assertThat(target.connectionCount(), is(2));
		}
	}

	@Test
	void aSuccessThatDoesNotNameItsRequestAnswersNone() throws Exception {
		String unnamed = ScriptedTarget.answer("1", "", "one").replace("id: 1\r\n", "");
		try (ScriptedTarget target = new ScriptedTarget(unnamed, unnamed.replace("200 OK", "503 Full"))) {
			assertThat(send(target.address(), "1"), startsWith("lost: the response belongs to another request"));
			assertThat(send(target.address(), "1"), is("one"));
		}
	}

	// Guards against a caller who gets a status that no answer of HTTP has.
	@ParameterizedTest
	@ValueSource(strings = { "000", "00", "0", "099", "100", "101", "199", "600", "999", "1000", "-200", "abc", "" })
	void anAnswerWithoutAFinalStatusOfHttpIsBroken(String status) throws Exception {
		String answer = "HTTP/1.1 " + status + " OK\r\nid: 1\r\nseal: s\r\nContent-Length: 3\r\n\r\none";
		try (ScriptedTarget target = new ScriptedTarget(answer, ScriptedTarget.answer("2", "", "two"))) {
			assertThat(send(target.address(), "1"), startsWith("lost: "));
			assertThat(send(target.address(), "2"), is("two"));
			assertThat(target.connectionCount(), is(2));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "200", "299", "404", "500", "599" })
	void anAnswerWithAFinalStatusOfHttpIsPassedOn(String status) throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(
				ScriptedTarget.answer("1", "", "one").replace("200 OK", status + " OK"))) {
			assertThat(send(target.address(), "1"), is("one"));
		}
	}

	@Test
	void anAnswerThatEndsEarlyIsNotWhole() throws Exception {
		String cut = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 50\r\n\r\nhalf";
		String chunked = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
		for (String answer : new String[] { cut, chunked }) {
			try (ScriptedTarget target = new ScriptedTarget(answer + ScriptedTarget.THEN_HANG_UP)) {
				assertThat(send(target.address(), "1"), startsWith("lost: "));
			}
		}
	}

	/**
	 * A response without a length is complete when the connection is closed, but not when
	 * it is reset.
	 */
	@Test
	void anAnswerWithoutALengthIsWholeOnlyWhereItsConnectionEndsInOrder() throws Exception {
		String unframed = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nhalf";
		try (ScriptedTarget target = new ScriptedTarget(unframed + ScriptedTarget.THEN_HANG_UP)) {
			assertThat(send(target.address(), "1"), is("half"));
		}
		try (ScriptedTarget target = new ScriptedTarget(unframed + ScriptedTarget.THEN_RESET)) {
			assertThat(send(target.address(), "1"), startsWith("lost: "));
		}
	}

	// Guards against half a response that looks complete because the reset is met while
	// the request is still written.
	@Test
	void aResetThatIsMetWhileTheRequestIsWrittenIsNoEnd() throws Exception {
		for (int run = 0; run < 50; run++) {
			try (WireTarget target = new WireTarget((wire) -> {
				wire.readHead();
				wire.write("HTTP/1.1 200 OK\r\nid: 1\r\n\r\nhalf");
				wire.pause(5);
				wire.resetAtEnd();
			})) {
				FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/",
						Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]));
				request.headers().set("id", "1").set("Content-Length", LONG_BODY_BYTES);
				assertThat("run " + run, send(target.address(), request), startsWith("lost: "));
			}
		}
	}

	@Test
	void aTargetThatHangsUpMayHaveRunTheRequest() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.HANG_UP)) {
			assertThat(send(target.address(), "1"), startsWith("lost: "));
		}
	}

	@Test
	void bytesThatAreNoAnswerAreLost() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget("garbage that is no answer\r\n\r\n")) {
			assertThat(send(target.address(), "1"), startsWith("lost: "));
		}
	}

	@Test
	void aTargetThatCannotBeReachedHasNotRunTheRequest() throws Exception {
		String address;
		try (ScriptedTarget gone = new ScriptedTarget(ScriptedTarget.HANG_UP)) {
			address = gone.address();
		}
		assertThat(send(address, "1"), startsWith("not run: "));
	}

	@Test
	void aConnectionIsNotUsedNearTheEndOfItsIdleTime() throws Exception {
		String brief = ScriptedTarget.answer("1", "", "one").replace("timeout=10", "timeout=0");
		try (ScriptedTarget target = new ScriptedTarget(brief, ScriptedTarget.answer("2", "", "two"))) {
			assertThat(send(target.address(), "1"), is("one"));
			assertThat(send(target.address(), "2"), is("two"));
			assertThat(target.connectionCount(), is(2));
		}
	}

	@Test
	void aRequestThatIsGivenUpClosesItsConnectionAtOnce() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.SILENCE,
				ScriptedTarget.answer("2", "", "two"))) {
			CompletableFuture<Runnable> cancelAction = new CompletableFuture<>();
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
			request.headers().set("id", "1");
			CompletableFuture<String> outcome = new CompletableFuture<>();
			this.loop.execute(
					() -> cancelAction.complete(this.client.send(target.address(), request, new Collector(outcome))));
			TimeUnit.MILLISECONDS.sleep(50);
			this.loop.submit(cancelAction.get(WAIT_S, TimeUnit.SECONDS)).get(WAIT_S, TimeUnit.SECONDS);
			long startedNs = System.nanoTime();
			assertThat(send(target.address(), "2"), is("two"));
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs), lessThan(2_000L));
			assertThat(outcome.isDone(), is(false));
			assertThat(target.connectionCount(), is(2));
		}
	}

	/** Collects the response body or the failure as text. */
	private static class Collector implements ResponseListener {

		private final CompletableFuture<String> outcome;

		private final StringBuilder body = new StringBuilder();

		Collector(CompletableFuture<String> outcome) {
			this.outcome = outcome;
		}

		@Override
		public void onHead(HttpResponse head) {
			// The tests identify responses by their bodies.
		}

		@Override
		public long maximumBodyBytes() {
			return 1_000_000;
		}

		@Override
		public void onContent(ByteBuf content) {
			this.body.append(content.toString(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void onEnd(HttpResponse head) {
			this.outcome.complete(this.body.toString());
		}

		@Override
		public void onFailure(RequestFailure failure) {
			this.outcome.complete((failure.mayHaveRun() ? "lost: " : "not run: ") + failure.detail());
		}

	}

}
