package org.zinniatack.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
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

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link TargetClient} with targets that send a response twice, the second time
 * late and not whole.
 */
class SecondCopyTests {

	private static final long WAIT_S = 10;

	/** Time for the client to read what a target wrote on the same VM. */
	private static final long READ_MS = 5;

	private static final String SUCCESS = "HTTP/1.1 200 OK\r\nServer: t\r\nKeep-Alive: timeout=10\r\nid: 1\r\n"
			+ "seal: s1\r\nContent-Length: 3\r\n\r\none";

	private static final String FAILURE = "HTTP/1.1 503 Service Unavailable\r\nServer: t\r\nid: 2\r\nseal: s2\r\n"
			+ "Content-Length: 3\r\n\r\ntwo";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final TargetClient client = new TargetClient(this.loop, new ScriptedProtocol());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	/** Returns the status, seal and body of the response, or the failure. */
	private String send(String address, String id) throws Exception {
		return send(address, request(id));
	}

	private String send(String address, FullHttpRequest request) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.loop.execute(() -> this.client.send(address, request, new Collector(outcome)));
		return outcome.get(WAIT_S, TimeUnit.SECONDS);
	}

	private static FullHttpRequest request(String id) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set("id", id);
		return request;
	}

	/**
	 * Waits until the client has read the stray bytes, or for a while if it keeps the
	 * connection.
	 */
	private void awaitNoIdleConnection(String address) throws Exception {
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
		while (this.loop.submit(() -> this.client.hasIdleConnection(address)).get(WAIT_S, TimeUnit.SECONDS)
				&& System.nanoTime() < deadlineNs) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
	}

	/** Writes a response, and after a pause the beginning of a second copy of it. */
	private static void succeedAndBeginAgain(WireTarget.Wire wire, int copyBytes) throws IOException {
		wire.readHead();
		wire.write(SUCCESS);
		wire.pause(READ_MS);
		wire.write(SUCCESS.substring(0, copyBytes));
	}

	/** Writes a failure as the response to each request with the second id. */
	private static void fail(WireTarget.Wire wire) throws IOException {
		while (!wire.readHead().isEmpty()) {
			wire.write(FAILURE);
		}
	}

	// Guards against a failure that a caller got as a success, under the status line of a
	// late copy.
	@Test
	void theBeginningOfACopyOnAnIdleConnectionReachesNoOtherRequest() throws Exception {
		for (int cut = 1; cut <= SUCCESS.length(); cut++) {
			int copyBytes = cut;
			CompletableFuture<Void> copied = new CompletableFuture<>();
			try (WireTarget target = new WireTarget((wire) -> {
				if (!copied.isDone()) {
					succeedAndBeginAgain(wire, copyBytes);
					copied.complete(null);
				}
				fail(wire);
			})) {
				assertThat(send(target.address(), "1"), is("200 s1 one"));
				copied.get(WAIT_S, TimeUnit.SECONDS);
				awaitNoIdleConnection(target.address());
				assertThat("after %d bytes of a copy".formatted(cut), send(target.address(), "2"), is("503 s2 two"));
			}
		}
	}

	// Guards against bytes that make no event and stay before the next response, such as
	// an empty line.
	@Test
	void aConnectionIsNotUsedAgainWhateverFollowsAResponse() throws Exception {
		for (String stray : new String[] { "\r\n", "\n", "\u0000", " ", "x", "no response", "no response\r\n\r\n",
				SUCCESS, SUCCESS + SUCCESS, FAILURE }) {
			try (WireTarget target = new WireTarget((wire) -> {
				if (!wire.readHead().contains("id: 2")) {
					wire.write(SUCCESS + stray);
					fail(wire);
				}
				wire.write(FAILURE);
			})) {
				assertThat(send(target.address(), "1"), is("200 s1 one"));
				assertThat("after " + stray, send(target.address(), "2"), is("503 s2 two"));
				assertThat("after " + stray, target.connectionCount(), is(2));
			}
		}
	}

	// Guards against a request that is refused because stray bytes closed the connection
	// it was about to use.
	@Test
	void aRequestWhoseConnectionIsClosedBeforeItIsSentGetsAnother() throws Exception {
		try (WireTarget target = new WireTarget((wire) -> {
			if (!wire.readHead().contains("id: 2")) {
				wire.write(SUCCESS + SUCCESS);
				fail(wire);
			}
			wire.write(FAILURE);
		})) {
			CompletableFuture<String> first = new CompletableFuture<>();
			CompletableFuture<String> second = new CompletableFuture<>();
			first.thenRun(() -> this.client.send(target.address(), request("2"), new Collector(second)));
			this.loop.execute(() -> this.client.send(target.address(), request("1"), new Collector(first)));
			assertThat(second.get(WAIT_S, TimeUnit.SECONDS), is("503 s2 two"));
		}
	}

	// Guards against a failure that a caller got as a success because a copy began after
	// the request was sent.
	@Test
	void theBeginningOfACopyThatArrivesAfterTheNextRequestIsNotTheHeadOfItsResponse() throws Exception {
		for (int cut = 1; cut <= SUCCESS.length(); cut++) {
			String copy = SUCCESS.substring(0, cut);
			try (WireTarget target = new WireTarget((wire) -> {
				wire.readHead();
				wire.write(SUCCESS);
				wire.readHead();
				wire.write(copy);
				wire.write(FAILURE);
			})) {
				assertThat(send(target.address(), "1"), is("200 s1 one"));
				assertThat("after %d bytes of a copy".formatted(cut), send(target.address(), "2"),
						anyOf(is("503 s2 two"), startsWith("lost: ")));
			}
		}
	}

	// Guards against a repeated request that got the late copy of the response to its
	// first attempt.
	@Test
	void anIdIsNotSentAgainOnAConnectionOnWhichACopyOfItsResponseMayArrive() throws Exception {
		String again = SUCCESS.replace("s1", "s3").replace("one", "now");
		try (WireTarget target = new WireTarget((wire) -> {
			if (!wire.readHead().contains("again")) {
				wire.write(SUCCESS);
				wire.readHead();
				wire.write(SUCCESS);
			}
			wire.write(again);
			wire.readHead();
		})) {
			assertThat(send(target.address(), "1"), is("200 s1 one"));
			FullHttpRequest repeated = request("1");
			repeated.headers().set("again", "1");
			assertThat(send(target.address(), repeated), is("200 s3 now"));
		}
	}

	// Guards against a running request that counts as not run because of a stray refusal
	// without an id.
	@Test
	void aResponseWithoutAnIdCountsOnlyWhereNothingCameBefore() throws Exception {
		String refusal = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
		try (WireTarget target = new WireTarget((wire) -> {
			if (wire.readHead().contains("id: 1")) {
				wire.write(SUCCESS);
				wire.readHead();
			}
			wire.write(refusal);
			wire.readHead();
		})) {
			assertThat(send(target.address(), "1"), is("200 s1 one"));
			assertThat(send(target.address(), "2"), startsWith("lost: the response belongs to another request"));
			assertThat(send(target.address(), "2"), is("503 null "));
		}
	}

	// Guards against a late copy of a refusal without an id as the response to the next
	// request.
	@Test
	void aConnectionIsNotUsedAgainAfterAResponseWithoutAnId() throws Exception {
		String refusal = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
		try (WireTarget target = new WireTarget((wire) -> {
			wire.readHead();
			wire.write(refusal);
			wire.readHead();
			wire.write(refusal);
		})) {
			send(target.address(), "1");
			send(target.address(), "2");
			assertThat(target.connectionCount(), is(2));
		}
	}

	private static FullHttpRequest requestWithoutId() {
		FullHttpRequest request = request("");
		request.headers().remove("id");
		return request;
	}

	// Guards against the late copy of the response to a report as the response to an
	// order.
	@Test
	void aConnectionCarriesOneRequestWithoutAnId() throws Exception {
		String first = SUCCESS.replace("id: 1\r\n", "");
		String second = FAILURE.replace("id: 2\r\n", "");
		AtomicBoolean answered = new AtomicBoolean();
		try (WireTarget target = new WireTarget((wire) -> {
			if (wire.readHead().contains("id: 1")) {
				wire.write(SUCCESS);
				wire.readHead();
			}
			wire.write(answered.getAndSet(true) ? second : first);
			wire.readHead();
			wire.write(first);
		})) {
			assertThat(send(target.address(), "1"), is("200 s1 one"));
			assertThat(send(target.address(), requestWithoutId()), is("200 s1 one"));
			assertThat(target.connectionCount(), is(1));
			assertThat(send(target.address(), requestWithoutId()), is("503 s2 two"));
			assertThat(target.connectionCount(), is(2));
		}
	}

	// Guards against the late copy of a response to a caller as the response to a report
	// or an order, and the other way round.
	@Test
	void aCopyOfOneKindOfResponseIsNoneOfTheOther() throws Exception {
		String withoutId = SUCCESS.replace("id: 1\r\n", "");
		for (boolean reportFirst : new boolean[] { true, false }) {
			try (WireTarget target = new WireTarget((wire) -> {
				String copied = wire.readHead().contains("id: ") ? SUCCESS : withoutId;
				wire.write(copied);
				wire.readHead();
				wire.write(copied);
			})) {
				assertThat(send(target.address(), reportFirst ? requestWithoutId() : request("1")), is("200 s1 one"));
				assertThat(send(target.address(), reportFirst ? request("2") : requestWithoutId()),
						startsWith("lost: the response belongs to another request"));
			}
		}
	}

	// Guards against a body that was cut and is filled up by the beginning of a second
	// copy.
	@Test
	void aBodyThatACopyFillsUpIsNotWhole() throws Exception {
		String body = "0123456789".repeat(20);
		String response = SUCCESS.replace("Length: 3", "Length: 200").replace("one", body);
		int bodyStart = response.length() - body.length();
		List<Integer> accepted = new ArrayList<>();
		for (int bodyBytes = 0; bodyBytes < body.length(); bodyBytes++) {
			String cut = response.substring(0, bodyStart + bodyBytes);
			try (WireTarget target = new WireTarget((wire) -> {
				wire.readHead();
				wire.write(cut);
				wire.pause(1);
				wire.write(response);
				wire.readHead();
			})) {
				if (!send(target.address(), "1").startsWith("lost: ")) {
					accepted.add(bodyBytes);
				}
			}
		}
		assertThat("bytes of the body before the copy", accepted, is(empty()));
	}

	// Guards against a whole answer that is lost because its last byte may begin another.
	@Test
	void aWholeBodyThatEndsLikeAResponseBeginsIsPassedOn() throws Exception {
		String head = SUCCESS.substring(0, SUCCESS.indexOf("Content-Length"));
		for (String response : new String[] { head + "Content-Length: 1\r\n\r\nH\r\n",
				head + "Transfer-Encoding: chunked\r\n\r\n1\r\nH\r\n0\r\n\r\nxx",
				head + "Content-Length: 1\r\n\r\nH" + SUCCESS }) {
			try (WireTarget target = new WireTarget((wire) -> {
				wire.readHead();
				wire.write(response);
				wire.readHead();
			})) {
				assertThat(send(target.address(), "1"), is("200 s1 H"));
			}
		}
	}

	// Guards against a body without a length that goes on with a second copy of the
	// response.
	@Test
	void aBodyWithoutALengthEndsBeforeACopy() throws Exception {
		String response = SUCCESS.replace("Content-Length: 3\r\n", "");
		int secondHeaderEnd = response.indexOf("Keep-Alive");
		for (int cut = secondHeaderEnd; cut <= response.length(); cut++) {
			String copy = response.substring(0, cut);
			for (boolean paused : new boolean[] { false, true }) {
				try (WireTarget target = new WireTarget((wire) -> {
					wire.readHead();
					if (paused) {
						wire.write(response);
						wire.pause(READ_MS);
						wire.write(copy);
					}
					else {
						wire.write(response + copy);
					}
				})) {
					assertThat("with %d bytes of a copy".formatted(cut), send(target.address(), "1"),
							anyOf(is("200 s1 one"), startsWith("lost: ")));
				}
			}
		}
	}

	// Guards against a whole answer that is lost because it tells of responses.
	@Test
	void aBodyWithoutALengthMayHoldTheHeadOfAnotherResponse() throws Exception {
		String head = SUCCESS.substring(0, SUCCESS.indexOf("Content-Length"));
		for (String body : new String[] { "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.HTTP/1.1 200 OK\n\n",
				FAILURE, SUCCESS.replace("id: 1", "id: 3"), "HHTTP/1.1 200 OK\r\nid: 3\r\n\r\n" }) {
			try (WireTarget target = new WireTarget((wire) -> {
				wire.readHead();
				wire.write(head + "\r\n" + body);
			})) {
				assertThat(send(target.address(), "1"), is("200 s1 " + body));
			}
		}
	}

	/** Collects the response, or the failure after "not run:" or "lost:". */
	private static final class Collector implements ResponseListener {

		private final CompletableFuture<String> outcome;

		private final StringBuilder body = new StringBuilder();

		Collector(CompletableFuture<String> outcome) {
			this.outcome = outcome;
		}

		@Override
		public void onHead(HttpResponse head) {
			// The head comes again with the end.
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
			this.outcome.complete("%d %s %s".formatted(head.status().code(), head.headers().get("seal"), this.body));
		}

		@Override
		public void onFailure(RequestFailure failure) {
			this.outcome.complete((failure.mayHaveRun() ? "lost: " : "not run: ") + failure.detail());
		}

	}

}
