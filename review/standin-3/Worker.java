import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A worker: it announces itself, serves one request at a time on a connection, streams
 * the output of items, drops a request when its connection closes, and carries out
 * orders. What it does with a request is decided by the case.
 */
final class Worker implements AutoCloseable {

	private static final int HEARTBEAT_MS = 1_200;

	private static final int LOAD_MS = 900;

	private static final int IDLE_MS = 15_000;

	private final Rig rig;

	private final String id;

	private final String service;

	private final int slots;

	private final String model;

	private final Function<Request, Plan> plans;

	private final ServerSocket server;

	private final String address;

	private final long bornMs = System.currentTimeMillis();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong sequence = new AtomicLong();

	private final AtomicLong seals = new AtomicLong();

	private volatile long version = 1;

	private volatile long loadingUntilMs;

	private volatile long orderCount;

	private volatile long highestFence;

	private volatile boolean closed;

	Worker(Rig rig, String ip, String id, String service, int slots, String model, Function<Request, Plan> plans)
			throws IOException {
		this.rig = rig;
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.model = model;
		this.plans = plans;
		this.server = new ServerSocket();
		this.server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
		this.address = ip + ':' + this.server.getLocalPort();
		rig.add(this);
		daemon(this::accept);
		daemon(this::announce);
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket socket = this.server.accept();
				daemon(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void announce() {
		int next = 0;
		while (!this.closed) {
			this.sequence.incrementAndGet();
			String body = heartbeat(0);
			for (int attempt = 0; attempt < 3; attempt++) {
				Http.Answer answer = Http.send(this.rig.control(next % 3 + 1), "POST",
						"/zinniatack/instances/" + this.id + "/heartbeat", Map.of("Content-Type", "application/json"),
						body.getBytes(StandardCharsets.UTF_8), 1_000);
				if (answer.status() == Rig.OK) {
					break;
				}
				next++;
			}
			sleep(HEARTBEAT_MS);
		}
	}

	/** Returns the newest heartbeat with a sequence number that is ahead by some. */
	String heartbeat(long lead) {
		return """
				{"service":"%s","address":"%s","zone":"zone-1","version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"stage":"mixed","models":%s,"seq":%d,"born":%d}"""
			.formatted(this.service, this.address, this.slots, models(), this.sequence.get() + lead, this.bornMs);
	}

	int running() {
		return this.running.get();
	}

	String id() {
		return this.id;
	}

	private String models() {
		return this.model.isEmpty() ? "[]"
				: "[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}]".formatted(this.model, this.version);
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(socket.getInputStream());
			while (!this.closed) {
				socket.setSoTimeout(IDLE_MS);
				String line = Http.line(input);
				if (line == null) {
					return;
				}
				String[] words = line.split(" ");
				Map<String, String> headers = Http.headers(input);
				byte[] body = Http.body(input, headers);
				if (!answer(new Request(this.id, words[0], words[1], headers, body), socket, input)) {
					return;
				}
			}
		}
		catch (IOException | RuntimeException ex) {
			// The caller has closed the connection.
		}
	}

	/** Answers a request; returns false if the connection is to be closed. */
	private boolean answer(Request request, Socket socket, InputStream input) throws IOException {
		OutputStream output = socket.getOutputStream();
		String expected = request.headers().get("expect-instance");
		if (expected != null && !expected.equals(this.id)) {
			respond(output, request, 421, Map.of("Not-Executed", "1"), "");
			return true;
		}
		if (request.path().equals("/zinniatack/report")) {
			respond(output, request, Rig.OK, Map.of("Content-Type", "application/json"), report());
			return true;
		}
		if (request.path().equals("/zinniatack/order")) {
			respond(output, request, order(request), Map.of(), "");
			return true;
		}
		if (this.running.incrementAndGet() > this.slots || this.loadingUntilMs > System.currentTimeMillis()) {
			this.running.decrementAndGet();
			respond(output, request, 503, Map.of("Not-Executed", "1"), "");
			return true;
		}
		try {
			return run(request, socket, input, output);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private boolean run(Request request, Socket socket, InputStream input, OutputStream output) throws IOException {
		Plan plan = this.plans.apply(request);
		if (!plan.quiet()) {
			this.rig.note("%s: runs %s %s%s", this.id, request.requestId(), request.path(),
					request.headers().containsKey("last-event-id")
							? " after event " + request.headers().get("last-event-id") : "");
		}
		if (!stay(socket, input, plan.delayMs())) {
			this.rig.note("%s: %s was dropped by its sender", this.id, request.requestId());
			return false;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Response-Seal", this.id + '-' + this.seals.incrementAndGet());
		if (plan.status() != Rig.OK) {
			this.rig.note("%s: answers %s with %d", this.id, request.requestId(), plan.status());
			respond(output, request, plan.status(), headers, "");
			plan.after().run();
			return true;
		}
		if (plan.events() == 0) {
			respond(output, request, Rig.OK, headers, plan.body());
			return true;
		}
		return stream(request, plan, headers, socket, input, output);
	}

	private boolean stream(Request request, Plan plan, Map<String, String> headers, Socket socket, InputStream input,
			OutputStream output) throws IOException {
		int first = 1 + Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
		headers.put("Content-Type", "text/event-stream");
		headers.put("Weight-Versions", String.valueOf(this.version));
		headers.put("Transfer-Encoding", "chunked");
		output.write(head(request, Rig.OK, headers));
		for (int event = first; event <= plan.events(); event++) {
			if (!stay(socket, input, plan.gapMs())) {
				if (!plan.quiet()) {
					this.rig.note("%s: %s was dropped by its sender before event %d", this.id, request.requestId(),
							event);
				}
				return false;
			}
			String text = "id: %d\ndata: %s-%d\n\n".formatted(event, request.requestId(), event);
			output.write("%x\r\n%s\r\n".formatted(text.length(), text).getBytes(StandardCharsets.US_ASCII));
			output.flush();
		}
		output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		if (!plan.quiet()) {
			this.rig.note("%s: completed %s", this.id, request.requestId());
		}
		return true;
	}

	/** Waits; returns false as soon as the other side closes the connection. */
	private static boolean stay(Socket socket, InputStream input, int ms) throws IOException {
		if (ms <= 0) {
			return true;
		}
		socket.setSoTimeout(ms);
		try {
			input.mark(1);
			int value = input.read();
			if (value < 0) {
				return false;
			}
			input.reset();
			sleep(ms);
			return true;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
	}

	private String report() {
		return "{\"stage\":\"mixed\",\"models\":%s,\"busy\":%b,\"seq\":%d,\"waiting\":0,\"running\":%d,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}"
			.formatted(models(), this.loadingUntilMs > System.currentTimeMillis(), this.orderCount,
					this.running.get());
	}

	private synchronized int order(Request request) {
		String body = new String(request.body(), StandardCharsets.UTF_8);
		long fence = number(body, "fencingToken");
		long ordered = number(body, "version");
		if (fence < this.highestFence) {
			return 412;
		}
		this.highestFence = fence;
		if (this.loadingUntilMs > System.currentTimeMillis() || number(body, "expected") != this.orderCount) {
			return 409;
		}
		if (this.version >= ordered) {
			return Rig.OK;
		}
		this.orderCount++;
		this.loadingUntilMs = System.currentTimeMillis() + LOAD_MS;
		this.version = ordered;
		return Rig.ACCEPTED;
	}

	private static long number(String json, String field) {
		Matcher value = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
		return value.find() ? Long.parseLong(value.group(1)) : 0;
	}

	private void respond(OutputStream output, Request request, int status, Map<String, String> headers, String body)
			throws IOException {
		Map<String, String> all = new LinkedHashMap<>(headers);
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		all.put("Content-Length", String.valueOf(bytes.length));
		output.write(Rig.concat(head(request, status, all), bytes));
		output.flush();
	}

	private byte[] head(Request request, int status, Map<String, String> headers) {
		Map<String, String> all = new TreeMap<>(headers);
		if (!request.requestId().isEmpty()) {
			all.put("Request-Id", request.requestId());
		}
		all.put("Keep-Alive", "timeout=15");
		all.put("Server-Load", this.running.get() + ",0," + this.slots);
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " status\r\n");
		all.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() {
		this.closed = true;
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// It is closed.
		}
	}

	/**
	 * A request that reached the worker.
	 *
	 * @param worker the id of the worker
	 * @param method the method
	 * @param path the path
	 * @param headers the headers, with names in lower case
	 * @param body the body
	 */
	record Request(String worker, String method, String path, Map<String, String> headers, byte[] body) {

		String requestId() {
			return this.headers.getOrDefault("request-id", "");
		}

	}

	/**
	 * What a worker does with a request.
	 *
	 * @param status the status of the answer
	 * @param delayMs the time before the answer
	 * @param events the number of events, 0 for a plain answer
	 * @param gapMs the time before each event
	 * @param body the body of a plain answer
	 * @param quiet true if nothing is written to the record
	 * @param after what to do once an answer of failure is sent
	 */
	record Plan(int status, int delayMs, int events, int gapMs, String body, boolean quiet, Runnable after) {

		private static final Runnable NOTHING = () -> {
		};

		static Plan answer(String body, int delayMs) {
			return new Plan(Rig.OK, delayMs, 0, 0, body, false, NOTHING);
		}

		static Plan events(int count, int gapMs) {
			return new Plan(Rig.OK, 0, count, gapMs, "", false, NOTHING);
		}

		static Plan failure(int status, int delayMs) {
			return new Plan(status, delayMs, 0, 0, "", false, NOTHING);
		}

		Plan quietly() {
			return new Plan(this.status, this.delayMs, this.events, this.gapMs, this.body, true, this.after);
		}

		Plan then(Runnable action) {
			return new Plan(this.status, this.delayMs, this.events, this.gapMs, this.body, this.quiet, action);
		}

	}

}
