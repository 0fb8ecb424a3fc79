package org.zinniatack.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.zinniatack.agent.AgentService;
import org.zinniatack.agent.AgentSettings;
import org.zinniatack.control.ControlService;
import org.zinniatack.control.ControlSettings;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.entry.EntryService;
import org.zinniatack.entry.EntrySettings;
import org.zinniatack.process.Metrics;
import org.zinniatack.process.OperatorKeys;
import org.zinniatack.process.Service;
import org.zinniatack.standin.StandInEngine;
import org.zinniatack.standin.StandInPlatform;
import org.zinniatack.standin.StandInService;

/**
 * A whole system in one process, over real sockets on loopback.
 */
final class LocalSystem implements AutoCloseable {

	static final String CALLER_KEY = "zk-caller-0123456789abcdef";

	static final String OTHER_KEY = "zk-other-0123456789abcdef";

	static final String OPERATOR_KEY = "op-0123456789abcdef";

	static final String SECRET = "a cluster secret of a test";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long WAIT_MS = 15_000;

	private final HttpClient http = HttpClient.newHttpClient();

	private final Map<String, Daemon> daemons = new LinkedHashMap<>();

	private final Map<String, Service> services = new ConcurrentHashMap<>();

	private final Map<String, String> wireAddresses = new LinkedHashMap<>();

	private final List<String> operatorDigests = List.of(Sha256Digest.of(OPERATOR_KEY).hex());

	private final Path folder;

	private final long usageWindowMs;

	private final long usageIntervalMs;

	LocalSystem(Path folder, long usageWindowMs, long usageIntervalMs) {
		this.folder = folder;
		this.usageWindowMs = usageWindowMs;
		this.usageIntervalMs = usageIntervalMs;
	}

	static String freeAddress() {
		try (ServerSocket socket = new ServerSocket(0)) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** Starts control, two entries, a platform, and the records that the tests share. */
	void start(int controlCount) throws Exception {
		startPlatform();
		Map<String, String> members = new LinkedHashMap<>();
		for (int number = 1; number <= controlCount; number++) {
			members.put("control-" + number, freeAddress());
		}
		this.wireAddresses.putAll(members);
		List<CompletableFuture<Void>> starting = new ArrayList<>();
		for (String name : members.keySet()) {
			starting.add(CompletableFuture.runAsync(() -> run(() -> startControl(name, members))));
		}
		CompletableFuture.allOf(starting.toArray(new CompletableFuture<?>[0])).get(WAIT_MS, TimeUnit.MILLISECONDS);
		startEntry("entry-1");
		startEntry("entry-2");
		await("the entries are ready", () -> isReady("entry-1") && isReady("entry-2"));
		setUp();
	}

	private static void run(Task task) {
		try {
			task.run();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void startPlatform() throws Exception {
		add("platform", Daemon.of(freeAddress(), 1 << 20, Metrics.registry(), List.of(), new StandInPlatform()));
	}

	private synchronized void put(String name, Daemon daemon) {
		this.daemons.put(name, daemon);
	}

	private void add(String name, Daemon daemon) throws Exception {
		put(name, daemon);
		daemon.start();
	}

	private void startControl(String name, Map<String, String> members) throws Exception {
		ControlSettings settings = new ControlSettings(name, this.folder.resolve(name).toString(), members.get(name),
				freeAddress(), members, List.of("a", "b", "c"), SECRET, this.operatorDigests, url("platform"),
				this.usageWindowMs, 300, 1_000);
		ControlService service = new ControlService(settings);
		add(name, Daemon.of(settings.httpAddress(), 1 << 20, Metrics.registry(), List.of(service), service,
				OperatorKeys.of(this.operatorDigests)));
	}

	void startEntry(String name) throws Exception {
		EntrySettings settings = new EntrySettings(name, "a", freeAddress(), freeAddress(), controlAddresses(), SECRET,
				this.operatorDigests, 3_000, 20_000, 1 << 20, 0, this.usageWindowMs, this.usageIntervalMs);
		this.wireAddresses.put(name, settings.listenAddress());
		PrometheusMeterRegistry metrics = Metrics.registry();
		EntryService service = new EntryService(settings, metrics);
		this.services.put(name, service);
		add(name, Daemon.of(settings.httpAddress(), 1 << 20, metrics, List.of(service), service,
				OperatorKeys.of(this.operatorDigests)));
	}

	private List<String> controlAddresses() {
		return this.wireAddresses.entrySet()
			.stream()
			.filter((address) -> address.getKey().startsWith("control"))
			.map(Map.Entry::getValue)
			.toList();
	}

	/** Starts an engine with its agent. */
	void startEngine(String name, String failureDomain, StandInEngine.EngineOptions options) throws Exception {
		add("engine-of-" + name, Daemon.of(freeAddress(), 1 << 20, Metrics.registry(), List.of(),
				new StandInEngine(options, () -> CompletableFuture.runAsync(() -> stop("engine-of-" + name)))));
		startAgent(name, "draft", failureDomain, url("engine-of-" + name), "engine");
		awaitTarget(name);
	}

	/** Starts a plain service with its agent. */
	void startService(String name) throws Exception {
		add("service-of-" + name,
				Daemon.of(freeAddress(), 1 << 20, Metrics.registry(), List.of(), new StandInService()));
		startAgent(name, "rota", "c", url("service-of-" + name), "service");
		awaitTarget(name);
	}

	private void startAgent(String name, String pool, String failureDomain, String targetUrl, String protocol)
			throws Exception {
		AgentSettings settings = new AgentSettings(name, pool, failureDomain, targetUrl, protocol, 8, freeAddress(),
				List.of(this.wireAddresses.get("entry-1")), 4, SECRET, this.operatorDigests, 100, 5_000);
		AgentService service = new AgentService(settings);
		this.services.put(name, service);
		add(name, Daemon.of(settings.httpAddress(), 1 << 20, Metrics.registry(), List.of(service), service,
				OperatorKeys.of(this.operatorDigests)));
	}

	private void awaitTarget(String name) throws Exception {
		for (String entry : List.of("entry-1", "entry-2")) {
			await(name + " is known to " + entry, () -> dump(entry).path("targets").toString().contains(name));
		}
	}

	static StandInEngine.EngineOptions engine(long tokenIntervalMs) {
		return new StandInEngine.EngineOptions(1, tokenIntervalMs, 50, true, 0, "crash-this-target");
	}

	private void setUp() throws Exception {
		record("customer", "trentvale", 2, Map.of("weight", 1));
		record("customer", "kanalvid", 1, Map.of("share", 1));
		record("key", "caller", 2, Map.of("customer", "trentvale", "digestSha256", Sha256Digest.of(CALLER_KEY).hex()));
		record("key", "other", 1, Map.of("customer", "kanalvid", "digest", Sha256Digest.of(OTHER_KEY).hex()));
		record("route", "draft", 2,
				Map.of("protocol", "engine", "pool", "draft", "access", "keyed", "customers", List.of("trentvale")));
		record("route", "rota", 2,
				Map.of("protocol", "service", "pool", "rota", "access", "keyed", "repeatable", false));
		record("route", "open", 1, Map.of("type", "service", "pool", "rota", "open", true));
		awaitInForce();
	}

	JsonNode record(String kind, String name, int schemaVersion, Map<String, Object> document) throws Exception {
		long revision = revisionOf(kind, name);
		HttpResponse<String> answer = operator("PUT", "/v1/records/" + kind + "/" + name, MAPPER.writeValueAsString(
				Map.of("schemaVersion", schemaVersion, "expectedRevision", revision, "document", document)));
		if (answer.statusCode() != 200) {
			throw new IllegalStateException(answer.body());
		}
		return MAPPER.readTree(answer.body());
	}

	long revisionOf(String kind, String name) throws Exception {
		return MAPPER.readTree(operator("GET", "/v1/records/" + kind + "/" + name, "").body())
			.path("revision")
			.asLong(0);
	}

	void awaitInForce() throws Exception {
		await("the records are in force", () -> {
			JsonNode status = MAPPER.readTree(operator("GET", "/v1/status", "").body());
			return status.path("entriesInForce").asInt() == 2 && status.path("entries").asInt() == 2
					&& status.path("agentsInForce").asInt() == status.path("agents").asInt();
		});
	}

	/** Calls the operators' interface of any control process that answers. */
	HttpResponse<String> operator(String method, String path, String body) throws Exception {
		Exception last = new IllegalStateException("no control process");
		for (String name : running("control")) {
			try {
				HttpResponse<String> answer = send(name, method, path, body, OPERATOR_KEY, Map.of());
				if (answer.statusCode() != 503) {
					return answer;
				}
				last = new IllegalStateException(answer.body());
			}
			catch (IOException ex) {
				last = ex;
			}
		}
		throw last;
	}

	synchronized List<String> running(String prefix) {
		return this.daemons.keySet().stream().filter((name) -> name.startsWith(prefix)).toList();
	}

	HttpResponse<String> send(String process, String method, String path, String body, String key,
			Map<String, String> headers) throws IOException, InterruptedException {
		return this.http.send(request(process, method, path, body, key, headers), HttpResponse.BodyHandlers.ofString());
	}

	CompletableFuture<HttpResponse<String>> sendAsync(String process, String method, String path, String body,
			String key) {
		return this.http.sendAsync(request(process, method, path, body, key, Map.of()),
				HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest request(String process, String method, String path, String body, String key,
			Map<String, String> headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url(process) + path))
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		if (!key.isEmpty()) {
			request.header("Authorization", "Bearer " + key);
		}
		request.header("Content-Type", "application/json");
		headers.forEach(request::header);
		return request.build();
	}

	/** Sends a completion and returns its answer. */
	HttpResponse<String> complete(String entry, String prompt, int tokens, boolean stream)
			throws IOException, InterruptedException {
		return send(entry, "POST", "/v1/completions", completion(prompt, tokens, stream), CALLER_KEY, Map.of());
	}

	static String completion(String prompt, int tokens, boolean stream) {
		return "{\"model\":\"draft\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens + ",\"stream\":" + stream
				+ "}";
	}

	JsonNode dump(String process) throws Exception {
		return MAPPER.readTree(send(process, "GET", "/dump", "", OPERATOR_KEY, Map.of()).body());
	}

	boolean isReady(String process) throws Exception {
		return send(process, "GET", "/health/ready", "", "", Map.of()).statusCode() == 200;
	}

	synchronized String url(String process) {
		return this.daemons.get(process).url();
	}

	String wireAddress(String process) {
		return this.wireAddresses.get(process);
	}

	JsonNode platform(String path) throws Exception {
		return MAPPER.readTree(send("platform", "GET", path, "", "", Map.of()).body());
	}

	void announceWeights(long version) throws Exception {
		send("platform", "POST", "/weights/draft/" + version, "", "", Map.of());
	}

	/** Returns the name of the control process that leads. */
	String leader() throws Exception {
		String[] leader = new String[1];
		await("control has a leader", () -> {
			JsonNode status = MAPPER.readTree(operator("GET", "/v1/status", "").body());
			leader[0] = status.path("leader").asText("").split("\\.")[0];
			return !leader[0].isEmpty();
		});
		return leader[0];
	}

	void stop(String process) {
		Daemon daemon;
		synchronized (this) {
			daemon = this.daemons.remove(process);
		}
		if (daemon != null) {
			daemon.stop();
		}
	}

	/** Cuts a process off without letting it finish anything. */
	void drop(String process) {
		Service service;
		synchronized (this) {
			this.daemons.remove(process);
			service = this.services.get(process);
		}
		if (service instanceof AgentService agent) {
			agent.abort();
		}
		else if (service instanceof EntryService entry) {
			entry.abort();
		}
	}

	static void await(String what, Callable<Boolean> condition) throws Exception {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
		while (!holds(condition)) {
			if (System.nanoTime() > deadlineNs) {
				throw new AssertionError("waited in vain until " + what);
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private static boolean holds(Callable<Boolean> condition) throws Exception {
		try {
			return condition.call();
		}
		catch (IOException | IllegalStateException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		List<String> order = new ArrayList<>();
		synchronized (this) {
			order.addAll(this.daemons.keySet());
		}
		Collections.reverse(order);
		order.forEach(this::stop);
	}

	/** Something that may fail. */
	private interface Task {

		void run() throws Exception;

	}

}
