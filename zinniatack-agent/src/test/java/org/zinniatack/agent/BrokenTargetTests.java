package org.zinniatack.agent;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.wire.Message;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link HttpTarget} with a target whose responses never end, or end too early.
 */
class BrokenTargetTests {

	private static final long WAIT_S = 20;

	private static final int DEADLINE_MS = 3_000;

	/** What the buffers of both sockets hold, and a little that was read. */
	private static final long SOCKET_BYTES = 16 * 1024 * 1024;

	/** The longest answer that is passed on, at most doubled by the events' framing. */
	private static final long ANSWER_BYTES = 64 * 1024 * 1024;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

	private static final List<String> ENDLESS_HEADS = List.of("HTTP/1.1 200 \u0001x", "\u0001x",
			"HTTP/1.1 200 OK\r\n\u0001x", "HTTP/1.1 200 OK\r\n\u0001a: b\r\n",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n\u00010", HEAD + "Transfer-Encoding: chunked\r\n\r\n1;\u0001x",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n\u0001a: b\r\n");

	private static final List<String> ENDLESS_BODIES = List.of(HEAD + "Content-Length: 9000000000\r\n\r\n\u0001x",
			HEAD + "\r\n\u0001x", HEAD + "Transfer-Encoding: chunked\r\n\r\n\u00014\r\nxxxx\r\n",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n\u0001x",
			"HTTP/1.1 500 Bad\r\nContent-Type: application/json\r\n\r\n\u0001x");

	private final AtomicLong writtenBytes = new AtomicLong();

	private final AtomicInteger openConnections = new AtomicInteger();

	private volatile String response = "";

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread thread = new Thread(this::accept, "target");
		thread.setDaemon(true);
		thread.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				Thread thread = new Thread(() -> serve(socket), "target-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The server was closed.
			return;
		}
	}

	private void serve(Socket socket) {
		this.openConnections.incrementAndGet();
		try (socket) {
			readHead(socket.getInputStream());
			OutputStream output = socket.getOutputStream();
			String[] parts = this.response.split("\u0001");
			output.write(parts[0].getBytes(StandardCharsets.US_ASCII));
			while (parts.length > 1) {
				byte[] block = parts[1].repeat(65_536 / parts[1].length()).getBytes(StandardCharsets.US_ASCII);
				output.write(block);
				this.writtenBytes.addAndGet(block.length);
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
			return;
		}
		finally {
			this.openConnections.decrementAndGet();
		}
	}

	private void awaitClosed() throws InterruptedException {
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
		while (this.openConnections.get() > 0 && System.nanoTime() < deadlineNs) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(this.openConnections.get(), is(0));
	}

	private static void readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("the connection was closed");
			}
			head.append((char) next);
		}
	}

	private HttpTarget target(boolean engine) throws Exception {
		return new HttpTarget("http://127.0.0.1:" + this.server.getLocalPort(), engine);
	}

	private static String outcome(CompletableFuture<?> future) throws Exception {
		try {
			return "answered " + future.get(WAIT_S, TimeUnit.SECONDS);
		}
		catch (ExecutionException ex) {
			return "failed " + ex.getCause();
		}
	}

	private String run(HttpTarget target) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		target.run(new Message.Run("id", "digest", false, "GET", "/x", Map.of(), new byte[0], false, DEADLINE_MS),
				new TextReceiver(outcome));
		return outcome.get(WAIT_S, TimeUnit.SECONDS);
	}

	private static List<String> all() {
		List<String> responses = new ArrayList<>(ENDLESS_HEADS);
		responses.addAll(ENDLESS_BODIES);
		return responses;
	}

	// Guards against an agent that keeps what its target sends to a check and runs out of
	// memory.
	@Test
	void aReportWithoutEndIsCut() throws Exception {
		for (String endless : all()) {
			this.response = endless;
			this.writtenBytes.set(0);
			assertThat(endless, outcome(target(true).state()), startsWith("failed"));
			awaitClosed();
			assertThat(endless, this.writtenBytes.get(), is(lessThan(SOCKET_BYTES)));
		}
	}

	// Guards against an agent that keeps what its target sends to an order.
	@Test
	void theAnswerToAnOrderWithoutEndIsCut() throws Exception {
		for (String endless : all()) {
			this.response = endless;
			this.writtenBytes.set(0);
			assertThat(endless, outcome(target(true).loadWeights(1, 1)), startsWith("failed"));
			awaitClosed();
			assertThat(endless, this.writtenBytes.get(), is(lessThan(SOCKET_BYTES)));
		}
	}

	@Test
	void theStateNamesTheSoftwareVersionIfTheEngineStatesIt() throws Exception {
		for (String version : List.of("v2", "")) {
			String state = version.isEmpty() ? "{\"weight_version\":3}"
					: "{\"weight_version\":3,\"software_version\":\"" + version + "\"}";
			this.response = "HTTP/1.1 200 OK\r\nContent-Length: " + state.length() + "\r\n\r\n" + state;
			assertThat(target(true).state().get(WAIT_S, TimeUnit.SECONDS), is(new Target.State(3, version)));
		}
	}

	// Guards against an agent that passes a status on that no answer of HTTP has.
	@Test
	void anAnswerWithoutAFinalStatusOfHttpFails() throws Exception {
		for (String status : List.of("000", "101", "600", "1000")) {
			this.response = "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\n{}";
			assertThat(status, run(target(false)), startsWith("failed"));
			assertThat(status, outcome(target(true).state()), startsWith("failed"));
			assertThat(status, outcome(target(true).loadWeights(1, 1)), startsWith("failed"));
		}
	}

	@Test
	void theHeadOfAnAnswerWithoutEndIsCut() throws Exception {
		for (String endless : ENDLESS_HEADS) {
			this.response = endless;
			this.writtenBytes.set(0);
			assertThat(endless, run(target(false)), startsWith("failed"));
			awaitClosed();
			assertThat(endless, this.writtenBytes.get(), is(lessThan(SOCKET_BYTES)));
		}
	}

	// Guards against an agent that keeps the line of an event until its end.
	@Test
	void anEventWithoutEndIsCut() throws Exception {
		for (String endless : List.of(HEAD + "\r\ndata: \u0001x",
				HEAD + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n\u0001x")) {
			this.response = endless;
			this.writtenBytes.set(0);
			assertThat(endless, run(target(true)), startsWith("failed"));
			awaitClosed();
			assertThat(endless, this.writtenBytes.get(), is(lessThan(SOCKET_BYTES)));
		}
	}

	// Guards against an agent that keeps all of an answer that its entry does not read.
	@Test
	void anAnswerThatIsNotReadIsKeptUpToALimit() throws Exception {
		for (boolean engine : new boolean[] { false, true }) {
			this.response = HEAD + "\r\n\u0001data: x\n\n";
			this.writtenBytes.set(0);
			CompletableFuture<String> outcome = new CompletableFuture<>();
			target(engine).run(
					new Message.Run("id", "digest", false, "GET", "/x", Map.of(), new byte[0], false, DEADLINE_MS),
					new TextReceiver(outcome) {
						@Override
						public CompletableFuture<Void> chunk(byte[] data) {
							return new CompletableFuture<>();
						}
					});
			assertThat(outcome.get(WAIT_S, TimeUnit.SECONDS), startsWith("failed"));
			awaitClosed();
			assertThat(this.writtenBytes.get(), is(lessThan(ANSWER_BYTES + SOCKET_BYTES)));
		}
	}

	@Test
	void aLongBodyIsPassedOnWhole() throws Exception {
		String body = "x".repeat(3_000_000);
		this.response = HEAD + "Content-Length: 3000000\r\n\r\n" + body;
		assertThat(run(target(false)), is("200 " + body));
	}

	// Guards against a success without a body, or with a part of one, for a target that
	// stopped in its head.
	@Test
	void anAnswerThatEndsInItsHeadIsNoAnswer() throws Exception {
		List<String> accepted = new ArrayList<>();
		for (String framing : List.of("Content-Length: 13\r\n\r\ndata: [DONE]\n",
				"Transfer-Encoding: chunked\r\n\r\nd\r\ndata: [DONE]\n\r\n0\r\n\r\n")) {
			String whole = HEAD + framing;
			for (boolean engine : new boolean[] { false, true }) {
				HttpTarget target = target(engine);
				for (int length = 0; length < whole.length(); length++) {
					this.response = whole.substring(0, length);
					String outcome = run(target);
					if (!outcome.startsWith("failed")) {
						accepted.add("engine %b, %d bytes of %s: %s".formatted(engine, length, framing, outcome));
					}
				}
			}
		}
		assertThat(accepted, is(empty()));
	}

	/** Collects the status and the body, or the failure. */
	private static class TextReceiver implements Target.Receiver {

		private final CompletableFuture<String> outcome;

		private final StringBuilder text = new StringBuilder();

		TextReceiver(CompletableFuture<String> outcome) {
			this.outcome = outcome;
		}

		@Override
		public void head(int httpStatus, String contentType) {
			this.text.append(httpStatus).append(' ');
		}

		@Override
		public CompletableFuture<Void> chunk(byte[] data) {
			this.text.append(new String(data, StandardCharsets.US_ASCII));
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public void end() {
			this.outcome.complete(this.text.toString());
		}

		@Override
		public void failed(Throwable failure, boolean targetReached) {
			this.outcome.complete("failed " + failure);
		}

	}

}
