import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Runs the programs of a small deployment as processes with the commands of the deploy file. Each machine has a
 * loopback address of its own, and the ports are the same on all of them.
 */
final class Rig implements AutoCloseable {

	static final String TRAINER_PATH = "/zinniatack/version-put";

	private static final int PORTS = 6;

	final int controls;

	private final Path root = Path.of(System.getProperty("root", ".")).toAbsolutePath();

	private final Path folder;

	private final int firstPort;

	private final int toleratedLosses;

	private final String platformAddress;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final BufferedWriter record;

	private final long startedNs = System.nanoTime();

	Rig(int controls, int toleratedLosses, String platformAddress, Path recordFile) throws IOException {
		this.controls = controls;
		this.toleratedLosses = toleratedLosses;
		this.platformAddress = platformAddress;
		this.folder = Files.createTempDirectory("zinniatack-review");
		this.firstPort = freePorts();
		this.record = Files.newBufferedWriter(recordFile);
		Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
	}

	/** Returns the first of some ports that are free on the addresses of all machines. */
	private int freePorts() throws IOException {
		for (int first = 20_000 + (int) (ProcessHandle.current().pid() % 1_500) * PORTS;; first += PORTS) {
			try {
				for (int machine = 1; machine <= this.controls; machine++) {
					for (int port = first; port < first + PORTS; port++) {
						new ServerSocket(port, 1, InetAddress.getByName(host(machine))).close();
					}
				}
				return first;
			}
			catch (IOException ex) {
				if (first > 31_000) {
					throw ex;
				}
			}
		}
	}

	static String host(int machine) {
		return "127.0.1." + machine;
	}

	static String frontHost(int machine) {
		return "127.0.2." + machine;
	}

	/** Returns the address at which a machine serves control. */
	String controlAddress(int machine) {
		return host(machine) + ':' + (this.firstPort + 1);
	}

	String frontAddress(int machine) {
		return frontHost(machine) + ':' + (this.firstPort + 3);
	}

	static String controlName(int machine) {
		return "store-" + machine;
	}

	private String seeds() {
		List<String> seeds = new ArrayList<>();
		for (int machine = 1; machine <= Math.min(3, this.controls); machine++) {
			seeds.add('"' + controlAddress(machine) + '"');
		}
		return seeds.toString();
	}

	/** Starts the control process of a machine. */
	void startControl(int machine, boolean firstStart) throws IOException {
		String settings = """
				{"name": "%s", "failureDomain": "zone-%d", "dataFolder": "%s", "listenAddress": "%s:%d",
				"operatorAddress": "%s", "metricsAddress": "%s:%d", "seedAddresses": %s, "firstStart": %b,
				"toleratedLosses": %d, "toleratedDomainLosses": 0, "clusterSecret": "zinniatack-on-trentvale",
				"platformAddress": "%s", "usageWindowS": 5, "usageGraceMs": 2500, "jobRetentionS": 120,
				"stopTimeoutS": 8, "failureDomains": ["zone-0", "zone-1", "zone-2"], "coldOverage": 1,
				"coldSlack": 0, "paceTargets": false}
				""".formatted(controlName(machine), machine % 3, dataFolder(machine), host(machine), this.firstPort,
				controlAddress(machine), host(machine), this.firstPort + 2, seeds(), firstStart, this.toleratedLosses,
				this.platformAddress);
		start(controlName(machine), runLine("control"), settings);
	}

	/** Starts the front process of a machine. */
	void startFront(int machine) throws IOException {
		String settings = """
				{"name": "front-%d", "failureDomain": "zone-%d", "callerAddress": "%s", "readinessAddress": "%s:%d",
				"metricsAddress": "%s:%d", "seedAddresses": %s, "clusterPort": %d,
				"clusterSecret": "zinniatack-on-trentvale", "usageWindowS": 5, "usageIntervalMs": 500,
				"stopTimeoutS": 8, "closeWithoutControl": false, "coldOverage": 1, "coldSlack": 0,
				"paceTargets": false}
				""".formatted(machine, machine % 3, frontAddress(machine), frontHost(machine), this.firstPort + 4,
				frontHost(machine), this.firstPort + 2, seeds(), this.firstPort);
		start("front-" + machine, runLine("front").replace("{{listen.front}}", frontAddress(machine)), settings);
	}

	Path dataFolder(int machine) {
		return this.folder.resolve("data-" + machine);
	}

	/** Returns the command of a role in the deploy file. */
	private String runLine(String role) throws IOException {
		Matcher line = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"")
			.matcher(Files.readString(this.root.resolve("deploy/system.toml")));
		if (!line.find()) {
			throw new IOException("no role " + role + " in the deploy file");
		}
		return line.group(1);
	}

	private void start(String name, String command, String settings) throws IOException {
		Path file = this.folder.resolve(name + ".json");
		Files.writeString(file, settings);
		ProcessBuilder builder = new ProcessBuilder(command.split(" ")).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("ZINNIATACK_NODE_FILE", file.toString());
		synchronized (this.processes) {
			this.processes.put(name, builder.start());
		}
	}

	Path log(String name) {
		return this.folder.resolve(name + ".log");
	}

	boolean isAlive(String name) {
		Process process = process(name);
		return process != null && process.isAlive();
	}

	private Process process(String name) {
		synchronized (this.processes) {
			return this.processes.get(name);
		}
	}

	/** Sends a signal to a process. */
	void signal(String name, String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, String.valueOf(process(name).pid())).start().waitFor();
	}

	void awaitEnd(String name) throws InterruptedException {
		process(name).waitFor(15, TimeUnit.SECONDS);
	}

	/** Removes what a machine has stored. */
	void wipe(int machine) throws IOException {
		delete(dataFolder(machine));
	}

	private static void delete(Path folder) throws IOException {
		if (Files.exists(folder)) {
			try (Stream<Path> files = Files.walk(folder)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.deleteIfExists(file);
				}
			}
		}
	}

	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNs);
	}

	/** Writes a line with the time since the start. */
	void note(String format, Object... arguments) {
		String line = "%8.3f s  %s".formatted(nowMs() / 1_000.0, format.formatted(arguments));
		synchronized (this.record) {
			try {
				this.record.write(line + '\n');
				this.record.flush();
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}
		System.out.println(line);
	}

	/** Sends the same order to one machine after the other until one acknowledges it. */
	int order(String path, String json, long limitMs) throws InterruptedException {
		long untilMs = nowMs() + limitMs;
		int machine = 1 + (int) (System.nanoTime() % this.controls);
		while (nowMs() < untilMs) {
			Answer answer = call("POST", controlAddress(machine), path, json, 1_000);
			if (answer.status() / 100 == 2) {
				return answer.status();
			}
			machine = 1 + machine % this.controls;
			Thread.sleep(100);
		}
		return 0;
	}

	/** Sends one request; the status is 0 if there was no answer. */
	static Answer call(String method, String address, String path, String json, int timeoutMs, String... headers) {
		try {
			HttpURLConnection connection = (HttpURLConnection) new URL("http://" + address + path).openConnection();
			connection.setRequestMethod(method);
			connection.setConnectTimeout(timeoutMs);
			connection.setReadTimeout(timeoutMs);
			for (int index = 0; index < headers.length; index += 2) {
				connection.setRequestProperty(headers[index], headers[index + 1]);
			}
			connection.setRequestProperty("Connection", "close");
			if (json != null) {
				connection.setRequestProperty("Content-Type", "application/json");
				connection.setDoOutput(true);
				try (OutputStream body = connection.getOutputStream()) {
					body.write(json.getBytes(StandardCharsets.UTF_8));
				}
			}
			int status = connection.getResponseCode();
			InputStream body = (status < 400) ? connection.getInputStream() : connection.getErrorStream();
			String text = (body != null) ? new String(body.readAllBytes(), StandardCharsets.UTF_8) : "";
			return new Answer(status, text);
		}
		catch (IOException ex) {
			return new Answer(0, String.valueOf(ex.getMessage()));
		}
	}

	static InetSocketAddress loopback(String host) {
		return new InetSocketAddress(host, 0);
	}

	private void endProcesses() {
		synchronized (this.processes) {
			this.processes.values().forEach((process) -> {
				process.destroyForcibly();
				try {
					process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
		}
	}

	@Override
	public void close() throws IOException {
		endProcesses();
		if (System.getenv("KEEP_LOGS") == null) {
			delete(this.folder);
		}
		else {
			System.out.println("logs in " + this.folder);
		}
		this.record.close();
	}

	/** The answer to a request. */
	record Answer(int status, String body) {
	}

}
