import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a sound worker. It announces itself, answers requests, generates items as
 * event streams, and obeys orders to load weights.
 */
class Worker implements AutoCloseable {

	static final String MODEL = "m0";

	private static final long HEARTBEAT_INTERVAL_MS = 1_200;

	final String id;

	final String service;

	final String address;

	final long bornMs = System.currentTimeMillis();

	final Recorder recorder;

	final AtomicLong sequence = new AtomicLong();

	private final ServerSocket server;

	private final List<String> controlAddresses;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean announcing = new AtomicBoolean(true);

	private final AtomicLong orderCount = new AtomicLong();

	private final AtomicLong version = new AtomicLong(1);

	private volatile boolean closed;

	Worker(String id, String service, String host, int port, List<String> controlAddresses, Recorder recorder)
			throws IOException {
		this.id = id;
		this.service = service;
		this.controlAddresses = controlAddresses;
		this.recorder = recorder;
		this.server = new ServerSocket();
		this.server.setReuseAddress(true);
		this.server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
		this.address = host + ':' + this.server.getLocalPort();
	}

	int port() {
		return this.server.getLocalPort();
	}

	void start() {
		thread(this::accept);
		thread(this::announce);
	}

	static Thread thread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(Math.max(0, ms));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void announce() {
		int next = (int) (Math.random() * this.controlAddresses.size());
		while (!this.closed && this.announcing.get()) {
			String body = heartbeatBody("ready");
			for (int attempt = 0; attempt < this.controlAddresses.size() && this.announcing.get(); attempt++) {
				if (send(this.controlAddresses.get(next), "heartbeat", body) / 100 == 2) {
					break;
				}
				next = (next + 1) % this.controlAddresses.size();
			}
			sleep(HEARTBEAT_INTERVAL_MS);
		}
	}

	void stopAnnouncing() {
		this.announcing.set(false);
	}

	/** Returns the body of the next heartbeat. */
	String heartbeatBody(String state) {
		return String.format(Locale.ROOT,
				"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"coldRemainingMs\":0,"
						+ "\"stage\":\"mixed\",\"models\":[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}],\"seq\":%d,\"born\":%d}",
				this.service, this.address, state, MODEL, this.version.get(), this.sequence.incrementAndGet(),
				this.bornMs);
	}

	/** Sends a heartbeat or a deregistration and returns the status, or 0 without one. */
	int send(String controlAddress, String call, String body) {
		try {
			return Http
				.call(controlAddress, "POST", "/zinniatack/instances/" + this.id + '/' + call,
						Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1_000)
				.status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				thread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Message request = Http.read(in); request != null && !this.closed; request = Http.read(in)) {
				handle(socket.getOutputStream(), request);
			}
		}
		catch (IOException | RuntimeException ex) {
			// The caller closed the connection.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private void handle(OutputStream out, Http.Message request) throws IOException {
		String expected = request.header("Expect-Instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			respond(out, 421, "Not-Executed: 1\r\n", request, "");
		}
		else if (request.path().equals("/zinniatack/report")) {
			respond(out, 200, "Content-Type: application/json\r\n", request, String.format(Locale.ROOT,
					"{\"stage\":\"mixed\",\"models\":[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}],\"busy\":false,\"seq\":%d,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0}",
					MODEL, this.version.get(), this.orderCount.get()));
		}
		else if (request.path().equals("/zinniatack/order")) {
			this.orderCount.incrementAndGet();
			this.version.incrementAndGet();
			respond(out, 202, "", request, "");
		}
		else {
			run(out, request);
		}
	}

	/** Runs a request. */
	void run(OutputStream out, Http.Message request) throws IOException {
		this.recorder.log("run at %s: %s %s", this.id, request.header("Request-Id"), request.path());
		respond(out, 200, "Response-Seal: seal-" + request.header("Request-Id") + "\r\n", request, "done");
	}

	final void respond(OutputStream out, int status, String headers, Http.Message request, String body)
			throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		String id = request.header("Request-Id");
		out.write(("HTTP/1.1 " + status + " Status\r\n" + headers + (id.isEmpty() ? "" : "Request-Id: " + id + "\r\n")
				+ "Keep-Alive: timeout=10\r\nContent-Length: " + bytes.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.write(bytes);
		out.flush();
	}

	/** Streams the events of an item after the last one that the request names. */
	final void stream(OutputStream out, Http.Message request, int eventCount, int eventBytes, long intervalMs)
			throws IOException {
		String id = request.header("Request-Id");
		String after = request.header("Last-Event-Id");
		out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: "
				+ id + "\r\nResponse-Seal: seal-" + id + "\r\nWeight-Versions: " + this.version.get()
				+ "\r\nKeep-Alive: timeout=10\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
		for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= eventCount; event++) {
			sleep(intervalMs);
			chunk(out, "id: " + event + "\ndata: " + eventData(id, event, eventBytes) + "\n\n");
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	static String eventData(String id, int event, int bytes) {
		String text = id + '.' + event + ' ';
		return text.repeat(Math.max(1, bytes / text.length()));
	}

	private static void chunk(OutputStream out, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
		out.write(bytes);
		out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/**
	 * Ends like a killed process that has read all that it was sent: its sockets are
	 * closed without a reset.
	 */
	final void endQuietly() throws IOException {
		this.closed = true;
		this.announcing.set(false);
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/** Ends like a process that crashes: all connections and the listening socket close. */
	@Override
	public void close() throws IOException {
		this.closed = true;
		this.announcing.set(false);
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.setSoLinger(true, 0);
			socket.close();
		}
	}

}
