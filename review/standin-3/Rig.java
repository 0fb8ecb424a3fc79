import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
 * Starts the programs of the deploy file as separate processes on loopback addresses,
 * with settings that are filled from its templates, and sends signals to them.
 */
final class Rig implements AutoCloseable {

	static final String HOST = "review.example";

	static final String KEY = "review-key-1";

	static final int OK = 200;

	static final int ACCEPTED = 202;

	private static final int CONTROL_COUNT = 3;

	private static final long START_LIMIT_MS = 30_000;

	private static final String SECRET = "review-secret-of-this-case-only";

	private final Path root;

	private final Path folder;

	private final PrintWriter record;

	private final long startedNs = System.nanoTime();

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final List<Worker> workers = new ArrayList<>();

	private final List<String> fronts = new ArrayList<>();

	private final List<String> controls = new ArrayList<>();

	private final List<String> readiness = new ArrayList<>();

	private final List<ServerSocket> reserved = new ArrayList<>();

	private int tableVersion;

	/** Whether configurations name a tenant and clients send its key. */
	private boolean tenants = true;

	/**
	 * Creates a rig in a temporary folder.
	 * @param recordFile the file to which everything is written that was sent, answered
	 * and run
	 */
	Rig(Path recordFile) throws IOException {
		this.root = Path.of(System.getProperty("review.root", ".")).toAbsolutePath().normalize();
		this.folder = Files.createTempDirectory("zinniatack-review");
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
	}

	/** Returns the time since the start of the rig, in milliseconds. */
	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNs);
	}

	/** Writes a line to the record. */
	void note(String text, Object... arguments) {
		String line = "%7.3f s  %s".formatted(nowMs() / 1_000.0, text.formatted(arguments));
		synchronized (this.record) {
			this.record.println(line);
		}
		System.out.println(line);
	}

	/** Returns a free port of a loopback address; it is reserved until the process starts. */
	private int freePort(String ip) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
		this.reserved.add(socket);
		return socket.getLocalPort();
	}

	/** Starts three control processes and some fronts, and waits until control answers. */
	void start(int frontCount, Map<String, String> bounds) throws IOException {
		List<String> controlIps = new ArrayList<>();
		for (int i = 1; i <= CONTROL_COUNT; i++) {
			controlIps.add("127.0.1." + i);
		}
		int clusterPort = commonPort(controlIps);
		List<String> seeds = new ArrayList<>();
		for (String ip : controlIps) {
			String operator = ip + ':' + freePort(ip);
			this.controls.add(operator);
			seeds.add('"' + ip + ':' + clusterPort + '"');
		}
		List<Runnable> starts = new ArrayList<>();
		for (int i = 0; i < CONTROL_COUNT; i++) {
			String name = "store-" + (i + 1);
			String ip = controlIps.get(i);
			Path data = Files.createDirectories(this.folder.resolve("data-" + name));
			Map<String, String> values = new LinkedHashMap<>(bounds);
			values.put("node", name);
			values.put("zone", "zone-" + (i + 1));
			values.put("dataDir", data.toString());
			values.put("ip", ip);
			values.put("portRange.0", String.valueOf(clusterPort));
			values.put("portRange.1", String.valueOf(freePort(ip)));
			values.put("listen.control", this.controls.get(i));
			values.put("seeds|json", seeds.toString());
			values.put("firstStart", "true");
			values.put("cloud.address", "");
			Path settings = settings("control.json", name, values);
			starts.add(() -> startProcess("control", name, settings, Map.of()));
		}
		for (int i = 1; i <= frontCount; i++) {
			String name = "front-" + i;
			String ip = "127.0.2." + i;
			String listen = ip + ':' + freePort(ip);
			String ready = ip + ':' + freePort(ip);
			this.fronts.add(listen);
			this.readiness.add(ready);
			Map<String, String> values = new LinkedHashMap<>(bounds);
			values.put("node", name);
			values.put("zone", "zone-" + i);
			values.put("ip", ip);
			values.put("portRange.0", String.valueOf(clusterPort));
			values.put("portRange.1", String.valueOf(freePort(ip)));
			values.put("listen.front", listen);
			values.put("listen.ready", ready);
			values.put("seeds|json", seeds.toString());
			Path settings = settings("front.json", name, values);
			starts.add(() -> startProcess("front", name, settings, Map.of("listen.front", listen)));
		}
		for (ServerSocket socket : this.reserved) {
			socket.close();
		}
		starts.forEach(Runnable::run);
	}

	/**
	 * Replaces a control process for good by one with an empty data folder at another
	 * address, and tells all others by their settings files and a signal.
	 */
	void replaceControl(int number, int delayMs) throws IOException, InterruptedException {
		String gone = "store-" + number;
		String goneIp = ipOf(this.controls.get(number - 1));
		signal("KILL", gone);
		Thread.sleep(delayMs);
		String name = "store-" + (number + CONTROL_COUNT);
		String ip = "127.0.1." + (number + CONTROL_COUNT);
		String text = Files.readString(this.folder.resolve(gone + ".json"))
			.replace(gone, name)
			.replace("\"firstStart\": true", "\"firstStart\": false")
			.replace(goneIp + ':', ip + ':');
		Files.createDirectories(this.folder.resolve("data-" + name));
		Files.writeString(this.folder.resolve(name + ".json"), text);
		this.controls.set(number - 1, this.controls.get(number - 1).replace(goneIp + ':', ip + ':'));
		for (String other : List.copyOf(this.processes.keySet())) {
			if (!other.equals(gone)) {
				Path file = this.folder.resolve(other + ".json");
				Files.writeString(file, Files.readString(file).replace('"' + goneIp + ':', '"' + ip + ':'));
				signal("HUP", other);
			}
		}
		startProcess("control", name, this.folder.resolve(name + ".json"), Map.of());
	}

	private static String ipOf(String address) {
		return address.substring(0, address.lastIndexOf(':'));
	}

	/** Returns a port that is free at all addresses. */
	private int commonPort(List<String> ips) throws IOException {
		for (int attempt = 0; attempt < 50; attempt++) {
			List<ServerSocket> sockets = new ArrayList<>();
			try {
				int port = freePort(ips.get(0));
				for (String ip : ips.subList(1, ips.size())) {
					ServerSocket socket = new ServerSocket();
					sockets.add(socket);
					socket.setReuseAddress(true);
					socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
				}
				this.reserved.addAll(sockets);
				return port;
			}
			catch (IOException ex) {
				for (ServerSocket socket : sockets) {
					socket.close();
				}
			}
		}
		throw new IOException("no port is free at all of " + ips);
	}

	/** Fills a template of the deploy file as the platform does. */
	private Path settings(String template, String name, Map<String, String> values) throws IOException {
		String text = Files.readString(this.root.resolve("deploy").resolve(template));
		// "{{#zones}}"{{@}}"{{,}}{{/zones}}" lists the zones.
		text = text.replaceAll("\\{\\{#zones}}.*?\\{\\{/zones}}", "\"zone-1\",\"zone-2\",\"zone-3\"");
		Matcher section = Pattern.compile("\\{\\{#([a-zA-Z.]+)}}(.*?)\\{\\{/\\1}}\\{\\{\\^\\1}}(.*?)\\{\\{/\\1}}")
			.matcher(text);
		text = section.replaceAll((match) -> {
			String value = values.get(match.group(1));
			boolean absent = value == null || value.equals("false");
			return Matcher.quoteReplacement(absent ? match.group(3) : match.group(2).replace("{{.}}", value));
		});
		Matcher placeholder = Pattern.compile("\\{\\{([a-zA-Z.0-9|]+)}}").matcher(text);
		text = placeholder.replaceAll((match) -> {
			String value = values.get(match.group(1));
			if (value == null) {
				throw new IllegalStateException("no value for " + match.group(1) + " of " + template);
			}
			return Matcher.quoteReplacement(value);
		});
		return Files.writeString(this.folder.resolve(name + ".json"), text);
	}

	/** Returns the words of the run line of a role. */
	private List<String> runLine(String role, Map<String, String> values) throws IOException {
		Matcher line = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"")
			.matcher(Files.readString(this.root.resolve("deploy/system.toml")));
		if (!line.find()) {
			throw new IOException("the deploy file has no run line for " + role);
		}
		List<String> words = new ArrayList<>();
		for (String word : line.group(1).split(" ")) {
			String text = word;
			for (Map.Entry<String, String> value : values.entrySet()) {
				text = text.replace("{{" + value.getKey() + "}}", value.getValue());
			}
			words.add(text);
		}
		return words;
	}

	private final Map<String, Runnable> restarts = new LinkedHashMap<>();

	private void startProcess(String role, String name, Path settings, Map<String, String> values) {
		this.restarts.put(name, () -> startProcess(role, name, settings, values));
		try {
			ProcessBuilder builder = new ProcessBuilder(runLine(role, values)).directory(this.root.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name)));
			Map<String, String> environment = builder.environment();
			environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			environment.put("ZINNIATACK_NODE_FILE", settings.toString());
			Process process = builder.start();
			this.processes.put(name, process);
			note("started %s, process %d", name, process.pid());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private File logFile(String name) {
		return this.folder.resolve(name + ".log").toFile();
	}

	/** Starts a process again that was killed, as the platform does. */
	void restart(String name) throws IOException {
		Path settings = this.folder.resolve(name + ".json");
		Files.writeString(settings,
				Files.readString(settings).replace("\"firstStart\": true", "\"firstStart\": false"));
		this.restarts.get(name).run();
	}

	/** Returns the lines that a process has logged so far. */
	String log(String name) throws IOException {
		return Files.readString(logFile(name).toPath());
	}

	boolean isAlive(String name) {
		return this.processes.get(name).isAlive();
	}

	Process process(String name) {
		return this.processes.get(name);
	}

	/** Sends a signal to a process that this rig has started. */
	void signal(String signal, String name) throws IOException, InterruptedException {
		note("signal %s to %s", signal, name);
		Process process = this.processes.get(name);
		new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
		if (signal.equals("KILL")) {
			process.waitFor();
		}
	}

	/** Returns the name of the control process that leads, as far as its log says. */
	String leader() throws IOException {
		Pattern change = Pattern.compile("event=leader_changed term=(\\d+) leader=(127\\.0\\.1\\.(\\d)):");
		long newest = -1;
		String leader = "";
		for (int i = 1; i <= CONTROL_COUNT; i++) {
			Matcher lines = change.matcher(log("store-" + i));
			while (lines.find()) {
				long term = Long.parseLong(lines.group(1));
				if (term >= newest) {
					newest = term;
					leader = "store-" + lines.group(3);
				}
			}
		}
		return leader;
	}

	String front(int number) {
		return this.fronts.get(number - 1);
	}

	String control(int number) {
		return this.controls.get(number - 1);
	}

	void add(Worker worker) {
		this.workers.add(worker);
	}

	/** Sets whether further configurations name a tenant and clients send its key. */
	void setTenants(boolean named) {
		this.tenants = named;
	}

	/** Replaces the configuration and waits until it is acknowledged. */
	void configure(String routes, String services) throws IOException, InterruptedException {
		if (!configure(routes, services, START_LIMIT_MS)) {
			throw new IOException("the configuration was not acknowledged");
		}
	}

	/**
	 * Sends a configuration again and again, as the operator does, and returns whether it
	 * is acknowledged in time.
	 */
	boolean configure(String routes, String services, long limitMs) throws InterruptedException {
		this.tableVersion++;
		String body = """
				{"version":%d,"routes":[%s],"services":[%s],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[%s]}"""
			.formatted(this.tableVersion, routes, services,
					this.tenants ? "{\"name\":\"tenant-1\",\"apiKeys\":[\"%s\"],\"priority\":1}".formatted(KEY) : "");
		long untilMs = nowMs() + limitMs;
		int sent = 0;
		for (int number = 1; nowMs() < untilMs; number = number % CONTROL_COUNT + 1) {
			Http.Answer answer = Http.send(control(number), "POST", "/zinniatack/config/replace",
					Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1_000);
			sent++;
			if (answer.status() == OK) {
				note("configuration %d acknowledged by %s", this.tableVersion, control(number));
				return true;
			}
			if (sent % 30 == 1) {
				note("configuration %d sent %d times, %s says: %s", this.tableVersion, sent, control(number),
						answer.shown());
			}
			Thread.sleep(100);
		}
		return false;
	}

	/** Waits until all fronts are ready. */
	void awaitReady() throws IOException, InterruptedException {
		for (String address : this.readiness) {
			long untilMs = nowMs() + START_LIMIT_MS;
			while (Http.send(address, "GET", "/zinniatack/ready", Map.of(), new byte[0], 1_000).status() != OK) {
				if (nowMs() > untilMs) {
					throw new IOException(address + " is not ready");
				}
				Thread.sleep(100);
			}
		}
		note("all fronts are ready");
	}

	/** Sends a request of a client with the key of the tenant. */
	Http.Answer client(int front, String method, String path, String id, String body, int timeoutMs) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", HOST);
		if (this.tenants) {
			headers.put("Key", KEY);
		}
		headers.put("Request-Id", id);
		headers.put("Deadline-Ms", String.valueOf(timeoutMs));
		headers.put("Content-Type", "application/json");
		Http.Answer answer = Http.send(front(front), method, path, headers, body.getBytes(StandardCharsets.UTF_8),
				timeoutMs);
		note("client: %s %s %s at front-%d -> %s", method, path, id, front, answer.shown());
		return answer;
	}

	private void killAll() {
		this.workers.forEach(Worker::close);
		this.processes.values().forEach(Process::destroyForcibly);
		for (Process process : this.processes.values()) {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	@Override
	public void close() throws IOException {
		killAll();
		String keep = System.getProperty("review.keep", "");
		if (keep.isEmpty()) {
			try (Stream<Path> files = Files.walk(this.folder)) {
				files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
			}
		}
		else {
			System.out.println("logs are kept in " + this.folder);
		}
		this.record.close();
	}

	/** Returns the bounds of a small deployment, as the pages give them. */
	static Map<String, String> smallBounds() {
		Map<String, String> bounds = new LinkedHashMap<>();
		bounds.put("bounds.graceS", "8");
		bounds.put("bounds.windowS", "5");
		bounds.put("bounds.statusS", "120");
		bounds.put("bounds.failClosed", "false");
		bounds.put("bounds.leaseMs", "3000");
		bounds.put("faultTolerance.machines", "1");
		bounds.put("faultTolerance.zones", "0");
		return bounds;
	}

	static byte[] concat(byte[]... parts) {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		for (byte[] part : parts) {
			all.writeBytes(part);
		}
		return all.toByteArray();
	}

}
