import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Workers answer streams without a length, up to the end of the connection. Some of them
 * crash in the middle of an event.
 */
final class CutStream extends Scenario {

	private static final int EVENTS = 20;

	private static final int EVENTS_BEFORE_CRASH = 8;

	private static final int STREAMS = 12;

	private static final int DEADLINE_MS = 8_000;

	private volatile boolean crashing;

	private CutStream(String[] arguments) {
		super(arguments);
	}

	public static void main(String[] arguments) {
		new CutStream(arguments).runAndExit(2);
	}

	@Override
	boolean isRuleBroken() throws Exception {
		Worker portal = addWorker(
				new Worker("portal-1", PORTAL, "127.0.0.1", 0, this.deployment.controlAddresses(), this.recorder));
		for (int n = 1; n <= 3; n++) {
			addWorker(new StreamWorker("model-" + n, 0));
		}
		addRoute("""
				{"name":"r-stream","host":"%s","pathPrefix":"/stream/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":0,"service":"%s","maxAttempts":2,"public":false,"resumable":true,"sticky":true}"""
			.formatted(HOST, LLM));
		awaitService();
		Worker.sleep(5_000);
		int truncated = 0;
		int complete = 0;
		for (int n = 0; n < STREAMS; n++) {
			this.crashing = this.trouble && n % 3 == 2;
			String front = this.deployment.frontAddresses().get(n % 2);
			String id = newId();
			String body = stream(front, id);
			if (body != null) {
				boolean whole = body.equals(wholeStream(id));
				complete += whole ? 1 : 0;
				truncated += whole ? 0 : 1;
				this.recorder.log("client: stream %s ended as complete with %d of %d bytes, its end is \"%s\"", id,
						body.length(), wholeStream(id).length(),
						body.substring(Math.max(0, body.length() - 30)).replace("\n", "\\n"));
			}
			Worker.sleep(500);
		}
		this.recorder.say("%d streams were whole, %d ended as complete before their last event", complete, truncated);
		if (complete == 0) {
			throw new NotRunException("no stream was whole (" + portal.id + " is up)");
		}
		return truncated > 0;
	}

	/** Returns the body of a stream that ended as complete, or null if it did not. */
	private String stream(String front, String id) {
		int colon = front.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(front.substring(0, colon),
					Integer.parseInt(front.substring(colon + 1))), 1_000);
			socket.setSoTimeout(DEADLINE_MS);
			socket.getOutputStream()
				.write(("POST /stream/run HTTP/1.1\r\nHost: " + HOST + "\r\nKey: " + KEY + "\r\nRequest-Id: " + id
						+ "\r\nDeadline-Ms: " + DEADLINE_MS + "\r\nModel: m0\r\nToken-Usage: 540,400\r\n"
						+ "Prompt-Prefix: 9c2e41:540\r\nContent-Length: 2\r\n\r\nhi")
					.getBytes(StandardCharsets.ISO_8859_1));
			Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()));
			if (response == null) {
				this.recorder.log("client: stream %s got no answer", id);
				return null;
			}
			this.recorder.log("client: stream %s answered %d", id, response.status());
			return (response.status() == 200) ? response.text() : null;
		}
		catch (IOException ex) {
			this.recorder.log("client: stream %s broke off: %s", id, ex.getMessage());
			return null;
		}
	}

	private static String event(String id, int number) {
		return "id: " + number + "\ndata: " + Worker.eventData(id, number, 100) + "\n\n";
	}

	private static String wholeStream(String id) {
		StringBuilder whole = new StringBuilder();
		for (int number = 1; number <= EVENTS; number++) {
			whole.append(event(id, number));
		}
		return whole.toString();
	}

	/** A model worker whose answers have no length. */
	private final class StreamWorker extends Worker {

		StreamWorker(String id, int port) throws IOException {
			super(id, LLM, "127.0.0.1", port, CutStream.this.deployment.controlAddresses(), CutStream.this.recorder);
		}

		@Override
		void run(OutputStream out, Http.Message request) throws IOException {
			String id = request.header("Request-Id");
			String after = request.header("Last-Event-Id");
			int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
			this.recorder.log("stream %s runs at %s from event %d", id, this.id, first);
			out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nRequest-Id: " + id
					+ "\r\nResponse-Seal: seal-" + id + "\r\nWeight-Versions: 1\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int number = first; number <= EVENTS; number++) {
				sleep(40);
				String event = event(id, number);
				if (CutStream.this.crashing && first == 1 && number > EVENTS_BEFORE_CRASH) {
					out.write(event.substring(0, event.length() / 2).getBytes(StandardCharsets.UTF_8));
					out.flush();
					this.recorder.log("%s crashes in the middle of event %d of %s", this.id, number, id);
					crash();
				}
				out.write(event.getBytes(StandardCharsets.UTF_8));
				out.flush();
			}
			throw new IOException("the end of the answer is the end of the connection");
		}

		/** Ends like a process that has read all that it was sent, and comes back later. */
		private void crash() throws IOException {
			endQuietly();
			thread(() -> {
				sleep(2_000);
				try {
					addWorker(new StreamWorker(this.id + "-again", port()));
				}
				catch (IOException ex) {
					this.recorder.log("a worker did not come back: %s", ex.getMessage());
				}
			});
			throw new IOException("crashed");
		}

	}

}
