package org.zinniatack.cli;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.zinniatack.core.key.Sha256Digest;

/**
 * Starts three control processes and a stand-in platform as processes of the operating
 * system. Tests kill them, freeze them with signals and empty their data folders.
 */
final class ControlProcesses implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

	private final HttpClient http = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();

	private final Path folder;

	private static final long START_TIMEOUT_MS = 60_000;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, String> wireAddresses = new LinkedHashMap<>();

	private final Map<String, String> httpAddresses = new LinkedHashMap<>();

	ControlProcesses(Path folder) throws IOException {
		this.folder = folder;
		this.httpAddresses.put("platform", LocalSystem.freeAddress());
		launch("platform", "standin", "platform", "--http", this.httpAddresses.get("platform"));
		for (String name : List.of("control-1", "control-2", "control-3")) {
			this.wireAddresses.put(name, LocalSystem.freeAddress());
			this.httpAddresses.put(name, LocalSystem.freeAddress());
		}
		for (String name : this.wireAddresses.keySet()) {
			start(name);
		}
	}

	void start(String name) throws IOException {
		Path settings = settingsFile(name);
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("name", name);
		fields.put("dataFolder", dataFolder(name).toString());
		fields.put("listenAddress", this.wireAddresses.get(name));
		fields.put("httpAddress", this.httpAddresses.get(name));
		fields.put("members", this.wireAddresses);
		fields.put("failureDomains", List.of("a", "b", "c"));
		fields.put("clusterSecret", LocalSystem.CLUSTER_SECRET);
		fields.put("operatorKeyDigests", List.of(Sha256Digest.of(LocalSystem.OPERATOR_KEY).hex()));
		fields.put("platformUrl", "http://" + this.httpAddresses.get("platform"));
		fields.put("usageWindowMs", 1_000);
		fields.put("usageGraceMs", 100);
		fields.put("shrinkDelayMs", 1_000);
		Files.write(settings, MAPPER.writeValueAsBytes(fields));
		launch(name, "control", "--settings", settings.toString());
	}

	private void launch(String name, String... arguments) throws IOException {
		List<String> command = Stream
			.concat(Stream.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx96m",
					"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
					Zinniatack.class.getName()), Stream.of(arguments))
			.toList();
		File log = this.folder.resolve(name + ".log").toFile();
		this.processes.put(name,
				new ProcessBuilder(command).redirectErrorStream(true)
					.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
					.start());
	}

	Path settingsFile(String name) {
		return this.folder.resolve(name + ".json");
	}

	Path dataFolder(String name) {
		return this.folder.resolve("data-" + name);
	}

	void kill(String name) throws InterruptedException {
		Process process = this.processes.remove(name);
		process.destroyForcibly();
		process.waitFor();
	}

	void signal(String name, String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.processes.get(name).pid())).start().waitFor();
	}

	void emptyDataFolder(String name) throws IOException {
		try (Stream<Path> files = Files.walk(dataFolder(name))) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	/** Returns the name and the content in hex of each file of a data folder. */
	List<String> dataFolderContents(String name) throws IOException {
		List<String> files = new ArrayList<>();
		try (Stream<Path> paths = Files.walk(dataFolder(name))) {
			for (Path file : paths.filter(Files::isRegularFile).sorted().toList()) {
				files.add(file.getFileName() + " " + HexFormat.of().formatHex(Files.readAllBytes(file)));
			}
		}
		return files;
	}

	List<String> running() {
		return this.processes.keySet().stream().filter((name) -> name.startsWith("control")).toList();
	}

	HttpResponse<String> call(String name, String method, String path, String body)
			throws IOException, InterruptedException {
		return this.http.send(HttpRequest.newBuilder(URI.create("http://" + this.httpAddresses.get(name) + path))
			.timeout(CALL_TIMEOUT)
			.header("Authorization", "Bearer " + LocalSystem.OPERATOR_KEY)
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	/** Returns what the processes have logged, with their names. */
	String lines() throws IOException {
		StringBuilder lines = new StringBuilder();
		for (String name : this.processes.keySet()) {
			Files.readAllLines(this.folder.resolve(name + ".log"))
				.forEach((line) -> lines.append(name).append(' ').append(line).append('\n'));
		}
		return lines.toString();
	}

	/**
	 * Creates a customer. It tries the processes in turn until one confirms that the
	 * customer is stored.
	 */
	void putCustomer(String customer) throws Exception {
		String body = "{\"schemaVersion\":2,\"expectedRevision\":0,\"document\":{\"weight\":1}}";
		LocalSystem.await(customer + " is accepted", () -> {
			for (String name : running()) {
				try {
					HttpResponse<String> answer = this.http.send(HttpRequest
						.newBuilder(URI
							.create("http://" + this.httpAddresses.get(name) + "/v1/records/customer/" + customer))
						.timeout(Duration.ofMillis(700))
						.header("Authorization", "Bearer " + LocalSystem.OPERATOR_KEY)
						.header("X-Request-Id", customer)
						.PUT(HttpRequest.BodyPublishers.ofString(body))
						.build(), HttpResponse.BodyHandlers.ofString());
					if (answer.statusCode() == 200) {
						return true;
					}
				}
				catch (IOException ex) {
					// Try the next process.
				}
			}
			return false;
		});
	}

	/** Waits until every running control process answers its liveness check. */
	void awaitAllLive() throws Exception {
		for (String name : running()) {
			LocalSystem.await(name + " is live", () -> call(name, "GET", "/health/live", "").statusCode() == 200);
		}
	}

	boolean hasCustomer(String name, String customer) throws IOException, InterruptedException {
		return customerStatus(name, customer) == 200;
	}

	/** Returns the status with which a process answers a read of a customer. */
	int customerStatus(String name, String customer) throws IOException, InterruptedException {
		return call(name, "GET", "/v1/records/customer/" + customer, "").statusCode();
	}

	/** Waits until all processes run, whose start takes long on a busy machine. */
	void awaitStarted() throws Exception {
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
		for (String name : running()) {
			while (!isLive(name)) {
				if (System.nanoTime() > deadlineNs) {
					throw new AssertionError("%s does not run after %d ms".formatted(name, START_TIMEOUT_MS));
				}
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
	}

	private boolean isLive(String name) throws InterruptedException {
		try {
			return call(name, "GET", "/health/live", "").statusCode() == 200;
		}
		catch (IOException ex) {
			// It does not listen yet.
			return false;
		}
	}

	JsonNode status() throws Exception {
		JsonNode[] status = new JsonNode[1];
		LocalSystem.await("a control process returns its status", () -> {
			for (String name : running()) {
				try {
					HttpResponse<String> answer = call(name, "GET", "/v1/status", "");
					if (answer.statusCode() == 200) {
						status[0] = MAPPER.readTree(answer.body());
						return true;
					}
				}
				catch (IOException ex) {
					// Try the next process.
				}
			}
			return false;
		});
		return status[0];
	}

	String leader() throws Exception {
		return status().path("leader").asText().split("\\.")[0];
	}

	JsonNode getFromPlatform(String path) throws IOException, InterruptedException {
		return MAPPER.readTree(call("platform", "GET", path, "").body());
	}

	@Override
	public void close() throws InterruptedException {
		for (Process process : this.processes.values()) {
			process.destroyForcibly();
			process.waitFor(5, TimeUnit.SECONDS);
		}
	}

}
