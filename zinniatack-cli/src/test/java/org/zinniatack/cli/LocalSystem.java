package org.zinniatack.cli;

import java.io.IOException;
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
import java.util.UUID;
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
import org.zinniatack.standin.ReservedPorts;
import org.zinniatack.standin.StandInEngine;
import org.zinniatack.standin.StandInPlatform;
import org.zinniatack.standin.StandInService;

/**
 * Runs a complete system inside the test process. Its parts communicate over TCP on the
 * loopback interface.
 */
final class LocalSystem implements AutoCloseable {

	static final String CALLER_KEY = "zk-caller-0123456789abcdef";

	static final String OTHER_KEY = "zk-other-0123456789abcdef";

	static final String OPERATOR_KEY = "op-0123456789abcdef";

	static final String CLUSTER_SECRET = "a cluster secret of a test";

	/** The status of a change whose outcome is unknown. */
	private static final int UNDECIDED_STATUS = 504;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long WAIT_TIMEOUT_MS = 15_000;

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
		return ReservedPorts.nextAddress();
	}

	/**
	 * Starts a platform, the control processes and two entries, and writes the shared
	 * records.
	 */
	void start(int controlCount) throws Exception {
		startPlatform();
		Map<String, String> members = new LinkedHashMap<>();
		for (int number = 1; number <= controlCount; number++) {
			members.put("control-" + number, freeAddress());
		}
		this.wireAddresses.putAll(members);
		List<CompletableFuture<Void>> starting = new ArrayList<>();
		for (String name : members.keySet()) {
			starting.add(CompletableFuture.runAsync(() -> runUnchecked(() -> startControl(name, members))));
		}
		CompletableFuture.allOf(starting.toArray(new CompletableFuture<?>[0]))
			.get(WAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		startEntry("entry-1");
		startEntry("entry-2");
		await("the entries are ready", () -> isReady("entry-1") && isReady("entry-2"));
		putRecords();
	}

	private static void runUnchecked(ThrowingTask task) {
		try {
			task.run();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void startPlatform() throws Exception {
		startDaemon("platform",
				Daemon.of(freeAddress(), 1 << 20, Metrics.registry(), List.of(), new StandInPlatform()));
	}

	private synchronized void register(String name, Daemon daemon) {
		this.daemons.put(name, daemon);
	}

	private void startDaemon(String name, Daemon daemon) throws Exception {
		register(name, daemon);
		daemon.start();
	}

	private void startControl(String name, Map<String, String> members) throws Exception {
		ControlSettings settings = new ControlSettings(name, this.folder.resolve(name).toString(), members.get(name),
				freeAddress(), members, List.of("a", "b", "c"), CLUSTER_SECRET, this.operatorDigests, url("platform"),
				this.usageWindowMs, 300, 1_000);
		ControlService service = new ControlService(settings);
		startDaemon(name, Daemon.of(settings.httpAddress(), 1 << 20, Metrics.registry(), List.of(service), service,
				OperatorKeys.of(this.operatorDigests)));
	}

	void startEntry(String name) throws Exception {
		EntrySettings settings = new EntrySettings(name, "a", freeAddress(), freeAddress(), controlAddresses(),
				CLUSTER_SECRET, this.operatorDigests, 3_000, 20_000, 1 << 20, 0, this.usageWindowMs,
				this.usageIntervalMs);
		this.wireAddresses.put(name, settings.listenAddress());
		PrometheusMeterRegistry metrics = Metrics.registry();
		EntryService service = new EntryService(settings, metrics);
		this.services.put(name, service);
		startDaemon(name, Daemon.of(settings.httpAddress(), 1 << 20, metrics, List.of(service), service,
				OperatorKeys.of(this.operatorDigests)));
	}

	private List<String> controlAddresses() {
		return this.wireAddresses.entrySet()
			.stream()
			.filter((address) -> address.getKey().startsWith("control"))
			.map(Map.Entry::getValue)
			.toList();
	}

	/**
	 * Starts a stand-in engine with its agent and waits until both entries know the
	 * target.
	 */
	void startEngine(String name, String failureDomain, StandInEngine.EngineOptions options) throws Exception {
		startDaemon("engine-of-" + name, Daemon.of(freeAddress(), 1 << 20, Metrics.registry(), List.of(),
				new StandInEngine(options, () -> CompletableFuture.runAsync(() -> stop("engine-of-" + name)))));
		startAgent(name, "draft", failureDomain, url("engine-of-" + name), "engine");
		awaitTargetKnown(name);
	}

	/**
	 * Starts a stand-in service with its agent and waits until both entries know the
	 * target.
	 */
	void startService(String name) throws Exception {
		startDaemon("service-of-" + name,
				Daemon.of(freeAddress(), 1 << 20, Metrics.registry(), List.of(), new StandInService()));
		startAgent(name, "rota", "c", url("service-of-" + name), "service");
		awaitTargetKnown(name);
	}

	private void startAgent(String name, String pool, String failureDomain, String targetUrl, String protocol)
			throws Exception {
		AgentSettings settings = new AgentSettings(name, pool, failureDomain, targetUrl, protocol, 8, freeAddress(),
				List.of(this.wireAddresses.get("entry-1")), 4, CLUSTER_SECRET, this.operatorDigests, 100, 5_000);
		AgentService service = new AgentService(settings);
		this.services.put(name, service);
		startDaemon(name, Daemon.of(settings.httpAddress(), 1 << 20, Metrics.registry(), List.of(service), service,
				OperatorKeys.of(this.operatorDigests)));
	}

	private void awaitTargetKnown(String name) throws Exception {
		for (String entry : List.of("entry-1", "entry-2")) {
			await(name + " is known to " + entry, () -> dump(entry).path("targets").toString().contains(name));
		}
	}

	static StandInEngine.EngineOptions engineOptions(long tokenIntervalMs) {
		return new StandInEngine.EngineOptions(1, tokenIntervalMs, 50, true, 0, "crash-this-target");
	}

	private void putRecords() throws Exception {
		putRecord("customer", "trentvale", 2, Map.of("weight", 1));
		putRecord("customer", "kanalvid", 1, Map.of("share", 1));
		putRecord("key", "caller", 2,
				Map.of("customer", "trentvale", "digestSha256", Sha256Digest.of(CALLER_KEY).hex()));
		putRecord("key", "other", 1, Map.of("customer", "kanalvid", "digest", Sha256Digest.of(OTHER_KEY).hex()));
		putRecord("route", "draft", 2,
				Map.of("protocol", "engine", "pool", "draft", "access", "keyed", "customers", List.of("trentvale")));
		putRecord("route", "rota", 2,
				Map.of("protocol", "service", "pool", "rota", "access", "keyed", "repeatable", false));
		putRecord("route", "open", 1, Map.of("type", "service", "pool", "rota", "open", true));
		awaitInForce();
	}

	/**
	 * Changes a record. A change that no leader took, or whose outcome is unknown, is
	 * sent again under its request id, as the answer asks.
	 */
	JsonNode putRecord(String kind, String name, int schemaVersion, Map<String, Object> document) throws Exception {
		String body = MAPPER.writeValueAsString(Map.of("schemaVersion", schemaVersion, "expectedRevision",
				revisionOf(kind, name), "document", document));
		Map<String, String> headers = Map.of("X-Request-Id", UUID.randomUUID().toString());
		List<HttpResponse<String>> answers = new ArrayList<>();
		await(kind + " " + name + " is answered", () -> {
			HttpResponse<String> answer = callOperatorApi("PUT", "/v1/records/" + kind + "/" + name, body, headers);
			answers.add(answer);
			return answer.statusCode() != UNDECIDED_STATUS;
		});
		HttpResponse<String> last = answers.get(answers.size() - 1);
		if (last.statusCode() != 200) {
			throw new IllegalStateException(last.body());
		}
		return MAPPER.readTree(last.body());
	}

	long revisionOf(String kind, String name) throws Exception {
		return MAPPER.readTree(callOperatorApi("GET", "/v1/records/" + kind + "/" + name, "").body())
			.path("revision")
			.asLong(0);
	}

	void awaitInForce() throws Exception {
		await("the records are in force", () -> {
			JsonNode status = MAPPER.readTree(callOperatorApi("GET", "/v1/status", "").body());
			return status.path("entriesInForce").asInt() == 2 && status.path("entries").asInt() == 2
					&& status.path("agentsInForce").asInt() == status.path("agents").asInt();
		});
	}

	/** Calls the operators' interface of the first control process that is available. */
	HttpResponse<String> callOperatorApi(String method, String path, String body) throws Exception {
		return callOperatorApi(method, path, body, Map.of());
	}

	private HttpResponse<String> callOperatorApi(String method, String path, String body, Map<String, String> headers)
			throws Exception {
		Exception last = new IllegalStateException("no control process is running");
		for (String name : running("control")) {
			try {
				HttpResponse<String> answer = send(name, method, path, body, OPERATOR_KEY, headers);
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

	/** Sends a completion request and returns the response. */
	HttpResponse<String> complete(String entry, String prompt, int tokens, boolean stream)
			throws IOException, InterruptedException {
		return send(entry, "POST", "/v1/completions", completionBody(prompt, tokens, stream), CALLER_KEY, Map.of());
	}

	static String completionBody(String prompt, int tokens, boolean stream) {
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

	JsonNode getFromPlatform(String path) throws Exception {
		return MAPPER.readTree(send("platform", "GET", path, "", "", Map.of()).body());
	}

	void announceWeights(long version) throws Exception {
		send("platform", "POST", "/weights/draft/" + version, "", "", Map.of());
	}

	/** Waits for a leader and returns the name of its control process. */
	String leader() throws Exception {
		String[] leader = new String[1];
		await("control has a leader", () -> {
			JsonNode status = MAPPER.readTree(callOperatorApi("GET", "/v1/status", "").body());
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

	/**
	 * Aborts an entry or an agent without a graceful stop, as if its process were killed.
	 */
	void abort(String process) {
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

	static void await(String goal, Callable<Boolean> condition) throws Exception {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MS);
		while (!holds(condition)) {
			if (System.nanoTime() > deadlineNs) {
				throw new AssertionError("timed out after " + WAIT_TIMEOUT_MS + " ms waiting until " + goal);
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

	/** Task that may throw a checked exception. */
	private interface ThrowingTask {

		void run() throws Exception;

	}

}
