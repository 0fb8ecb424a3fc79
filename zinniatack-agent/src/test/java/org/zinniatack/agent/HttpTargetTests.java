package org.zinniatack.agent;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.zinniatack.wire.Message;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link HttpTarget} with a target that sends more than its responses.
 */
class HttpTargetTests {

	private static final long WAIT_S = 10;

	/** Time for the client to read what a target wrote on the same VM. */
	private static final long READ_MS = 20;

	private static final String SUCCESS = "HTTP/1.1 200 OK\r\nServer: t\r\nContent-Length: 3\r\n\r\none";

	private static final String FAILURE = "HTTP/1.1 503 Service Unavailable\r\nServer: t\r\nContent-Length: 3\r\n\r\ntwo";

	// Guards against a failure that is passed on as a success, under the status line of a
	// late copy of the response before it.
	@Test
	void theBeginningOfASecondCopyReachesNoOtherRequest() throws Exception {
		for (int copyBytes = 1; copyBytes <= SUCCESS.length(); copyBytes++) {
			try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
				serve(server, SUCCESS.substring(0, copyBytes));
				HttpTarget target = new HttpTarget("http://127.0.0.1:" + server.getLocalPort(), false);
				assertThat(run(target, "/first"), is("200 one"));
				TimeUnit.MILLISECONDS.sleep(READ_MS);
				assertThat("after %d bytes of a copy".formatted(copyBytes), run(target, "/second"), is("503 two"));
			}
		}
	}

	/** Answers the first path with a success and surplus bytes, the others with 503. */
	private static void serve(ServerSocket server, String surplus) {
		Thread thread = new Thread(() -> {
			while (!server.isClosed()) {
				try {
					Socket socket = server.accept();
					new Thread(() -> answer(socket, surplus), "target-connection").start();
				}
				catch (IOException ex) {
					// The server was closed.
					return;
				}
			}
		}, "target");
		thread.setDaemon(true);
		thread.start();
	}

	private static void answer(Socket socket, String surplus) {
		try (socket) {
			InputStream input = socket.getInputStream();
			OutputStream output = socket.getOutputStream();
			for (String head = readHead(input); !head.isEmpty(); head = readHead(input)) {
				if (head.contains("/first")) {
					output.write(SUCCESS.getBytes(StandardCharsets.US_ASCII));
					TimeUnit.MILLISECONDS.sleep(READ_MS / 4);
					output.write(surplus.getBytes(StandardCharsets.US_ASCII));
				}
				else {
					output.write(FAILURE.getBytes(StandardCharsets.US_ASCII));
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
			return;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		for (int next = input.read(); next >= 0; next = input.read()) {
			head.append((char) next);
			if (head.toString().endsWith("\r\n\r\n")) {
				return head.toString();
			}
		}
		return "";
	}

	private static String run(HttpTarget target, String path) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		target.run(new Message.Run("id", "digest", false, "GET", path, Map.of(), new byte[0], false, 10_000),
				new Collector(outcome));
		return outcome.get(WAIT_S, TimeUnit.SECONDS);
	}

	/** Collects the status and the body, or the failure. */
	private static final class Collector implements Target.Receiver {

		private final CompletableFuture<String> outcome;

		private final StringBuilder text = new StringBuilder();

		Collector(CompletableFuture<String> outcome) {
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
			this.outcome.complete("failed: " + failure);
		}

	}

}
