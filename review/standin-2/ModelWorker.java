import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model worker: it announces itself, reports its state, and carries out one order at a time. It does not check
 * fences, as in a deployment whose settings say {@code fencing = false}.
 */
final class ModelWorker implements AutoCloseable {

	private static final long HEARTBEAT_MS = 1_200;

	private static final long LOAD_MS = 900;

	/** A report shows the state as of some hundred milliseconds before. */
	private static final long REPORT_LAG_MS = 200;

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int CONFLICT = 409;

	private static final int MISDIRECTED = 421;

	private static final int UNAVAILABLE = 503;

	static final int SLOTS = 8;

	static final int EVENTS = 20;

	private static final long EVENT_MS = 60;

	final String id;

	private final Rig rig;

	private final String service;

	private final String zone;

	private final HttpServer server;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, (task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, Long> versions = new TreeMap<>();

	private final Deque<State> states = new ArrayDeque<>();

	private final List<Order> orders = new ArrayList<>();

	private final List<Run> runs = new ArrayList<>();

	private final long bornMs = System.currentTimeMillis();

	private boolean busy;

	private long orderCount;

	private long beat;

	private int control = 1;

	ModelWorker(Rig rig, int number, String service, List<String> models) throws IOException {
		this.rig = rig;
		this.id = "i-" + number;
		this.service = service;
		this.zone = "zone-" + number % 3;
		models.forEach((model) -> this.versions.put(model, 1L));
		remember();
		this.server = HttpServer.create(Rig.loopback("127.0.3." + number), 64);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/zinniatack/report", this::report);
		this.server.createContext("/zinniatack/order", this::order);
		this.server.createContext("/", this::item);
	}

	void start() {
		this.server.start();
		this.timer.scheduleWithFixedDelay(this::announce, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
	}

	/** Returns the runs of items that have begun, in the order of their beginning. */
	synchronized List<Run> runs() {
		return List.copyOf(this.runs);
	}

	String address() {
		return this.server.getAddress().getHostString() + ':' + this.server.getAddress().getPort();
	}

	long bornMs() {
		return this.bornMs;
	}

	/** Returns the number of the last heartbeat. */
	synchronized long beat() {
		return this.beat;
	}

	/** Returns the orders that have arrived, in the order of their arrival. */
	synchronized List<Order> orders() {
		return List.copyOf(this.orders);
	}

	private synchronized void remember() {
		this.states.addLast(new State(System.nanoTime(), this.busy, this.orderCount, models()));
	}

	private synchronized String models() {
		List<String> entries = new ArrayList<>();
		this.versions.forEach((model, version) -> entries
			.add("{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}".formatted(model, version)));
		return '[' + String.join(",", entries) + ']';
	}

	private void announce() {
		String json;
		synchronized (this) {
			this.beat++;
			json = ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
					+ "\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"mixed\",\"models\":%s,\"seq\":%d,"
					+ "\"born\":%d}")
				.formatted(this.service, this.server.getAddress().getHostString(), this.server.getAddress().getPort(),
						this.zone, models(), this.beat, this.bornMs);
		}
		for (int attempt = 0; attempt < this.rig.controls; attempt++) {
			Rig.Answer answer = Rig.call("POST", this.rig.controlAddress(this.control),
					"/zinniatack/instances/" + this.id + "/heartbeat", json, 1_000);
			if (answer.status() / 100 == 2) {
				return;
			}
			this.control = 1 + this.control % this.rig.controls;
		}
	}

	private void report(HttpExchange exchange) throws IOException {
		State shown;
		synchronized (this) {
			long latestNs = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(REPORT_LAG_MS);
			shown = this.states.getFirst();
			for (State state : this.states) {
				shown = (state.sinceNs() <= latestNs) ? state : shown;
			}
		}
		answer(exchange, OK,
				("{\"stage\":\"mixed\",\"models\":%s,\"busy\":%b,\"seq\":%d,\"waiting\":0,\"running\":0,"
						+ "\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}")
					.formatted(shown.models(), shown.busy(), shown.orderCount()));
	}

	private void order(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String model = text(body, "model");
		long version = number(body, "version");
		int status;
		synchronized (this) {
			if (this.busy || number(body, "expected") != this.orderCount) {
				status = CONFLICT;
			}
			else if (this.versions.getOrDefault(model, 0L) >= version) {
				status = OK;
			}
			else {
				status = ACCEPTED;
				this.busy = true;
				this.orderCount++;
				remember();
				this.timer.schedule(() -> load(model, version), LOAD_MS, TimeUnit.MILLISECONDS);
			}
			this.orders.add(new Order(this.rig.nowMs(), text(body, "holder"), number(body, "fencingToken"), model,
					version, status));
		}
		this.rig.note("%s gets an order from %s with token %d: %s version %d, answered %d", this.id,
				text(body, "holder"), number(body, "fencingToken"), model, version, status);
		answer(exchange, status, "");
	}

	/** Runs an item: a stream of events, at most as many at a time as there are slots. */
	private void item(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		String requestId = exchange.getRequestHeaders().getFirst("Request-Id");
		String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-Id");
		if (requestId != null) {
			exchange.getResponseHeaders().set("Request-Id", requestId);
		}
		if (requestId == null || !this.id.equals(exchange.getRequestHeaders().getFirst("Expect-Instance"))) {
			answer(exchange, MISDIRECTED, "");
			return;
		}
		Run run;
		long version;
		synchronized (this) {
			long running = this.runs.stream().filter((other) -> other.endedAtMs == 0).count();
			if (running >= SLOTS || this.busy) {
				exchange.getResponseHeaders().set("Not-Executed", "1");
				answer(exchange, UNAVAILABLE, "");
				return;
			}
			version = this.versions.values().iterator().next();
			run = new Run(requestId, this.rig.nowMs());
			this.runs.add(run);
		}
		this.rig.note("%s begins %s", this.id, requestId);
		try {
			exchange.getResponseHeaders().set("Response-Seal", "seal-" + requestId);
			exchange.getResponseHeaders().set("Weight-Versions", String.valueOf(version));
			exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
			exchange.sendResponseHeaders(OK, 0);
			int first = (lastEventId != null) ? Integer.parseInt(lastEventId) + 1 : 1;
			for (int event = first; event <= EVENTS; event++) {
				Thread.sleep(EVENT_MS);
				exchange.getResponseBody()
					.write("id: %d\ndata: %s %d\n\n".formatted(event, requestId, event).getBytes(StandardCharsets.UTF_8));
				exchange.getResponseBody().flush();
			}
			exchange.close();
			run.finished = true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			run.endedAtMs = this.rig.nowMs();
			this.rig.note("%s %s %s", this.id, run.finished ? "finishes" : "loses", requestId);
		}
	}

	private synchronized void load(String model, long version) {
		this.versions.put(model, version);
		this.busy = false;
		remember();
	}

	private static String text(String json, String field) {
		Matcher value = Pattern.compile('"' + field + "\":\"([^\"]*)\"").matcher(json);
		return value.find() ? value.group(1) : "";
	}

	private static long number(String json, String field) {
		Matcher value = Pattern.compile('"' + field + "\":(\\d+)").matcher(json);
		return value.find() ? Long.parseLong(value.group(1)) : -1;
	}

	private static void answer(HttpExchange exchange, int status, String json) throws IOException {
		byte[] body = json.getBytes(StandardCharsets.UTF_8);
		exchange.getRequestBody().readAllBytes();
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.server.stop(0);
	}

	/** The state since a time. */
	private record State(long sinceNs, boolean busy, long orderCount, String models) {
	}

	/** A run of an item. */
	static final class Run {

		final String itemId;

		final long begunAtMs;

		volatile long endedAtMs;

		volatile boolean finished;

		Run(String itemId, long begunAtMs) {
			this.itemId = itemId;
			this.begunAtMs = begunAtMs;
		}

	}

	/** An order that has arrived. */
	record Order(long atMs, String holder, long token, String model, long version, int status) {
	}

}
