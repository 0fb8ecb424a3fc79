import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Three control processes and some fronts as separate processes, started with the run
 * lines of the deploy file. Each has its own loopback address.
 */
final class Deployment implements AutoCloseable {

	private final Path root;

	private final Path folder;

	private final Recorder recorder;

	private final String net;

	private final int port;

	private final String platformAddress;

	private final int frontCount;

	private final Map<String, Process> processes = new ConcurrentSkipListMap<>();

	private boolean closed;

	Deployment(Path root, Recorder recorder, int frontCount, String platformAddress) throws IOException {
		this.root = root;
		this.recorder = recorder;
		this.frontCount = frontCount;
		this.platformAddress = platformAddress;
		this.folder = Files.createTempDirectory("zinniatack-review");
		ThreadLocalRandom random = ThreadLocalRandom.current();
		this.net = "127." + (30 + random.nextInt(200)) + '.' + random.nextInt(250) + '.';
		this.port = freePort();
	}

	private int freePort() throws IOException {
		while (true) {
			int first = 20_000 + ThreadLocalRandom.current().nextInt(1_000) * 10;
			try {
				for (int offset = 0; offset < 6; offset++) {
					for (int host = 1; host <= 3 + this.frontCount; host++) {
						new ServerSocket(first + offset, 1, InetAddress.getByName(this.net + host)).close();
					}
				}
				return first;
			}
			catch (IOException ex) {
				// The port is taken: try another one.
			}
		}
	}

	List<String> controlNames() {
		return List.of("control-1", "control-2", "control-3");
	}

	/** Returns the address for operators and workers of a control process. */
	String controlAddress(String name) {
		return host(name) + ':' + (this.port + 2);
	}

	List<String> controlAddresses() {
		return controlNames().stream().map(this::controlAddress).toList();
	}

	/** Returns the addresses of the fronts for clients. */
	List<String> frontAddresses() {
		List<String> addresses = new ArrayList<>();
		for (int n = 1; n <= this.frontCount; n++) {
			addresses.add(host("front-" + n) + ':' + (this.port + 3));
		}
		return addresses;
	}

	private String host(String name) {
		int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
		return this.net + (name.startsWith("control") ? number : 3 + number);
	}

	void startAll() throws IOException {
		for (String name : controlNames()) {
			start(name, true);
		}
		for (int n = 1; n <= this.frontCount; n++) {
			start("front-" + n, true);
		}
	}

	/** Starts a process, unless the deployment is closed. */
	synchronized void start(String name, boolean firstStart) throws IOException {
		if (this.closed) {
			return;
		}
		Path settings = this.folder.resolve(name + ".json");
		Files.writeString(settings, name.startsWith("control") ? controlSettings(name, firstStart) : frontSettings(name));
		ProcessBuilder builder = new ProcessBuilder(runLine(name.substring(0, name.indexOf('-'))))
			.directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(name + ".log").toFile()));
		builder.environment().put("ZINNIATACK_NODE_FILE", settings.toString());
		this.processes.put(name, builder.start());
		this.recorder.log("start %s", name);
	}

	private List<String> runLine(String role) throws IOException {
		String deploy = Files.readString(this.root.resolve("deploy/system.toml"));
		Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
		if (!matcher.find()) {
			throw new IOException("the deploy file has no run line of the role " + role);
		}
		return List.of(matcher.group(1).split(" "));
	}

	private String seeds() {
		return "[\"%1$s1:%2$d\",\"%1$s2:%2$d\",\"%1$s3:%2$d\"]".formatted(this.net, this.port + 2);
	}

	private String controlSettings(String name, boolean firstStart) {
		return String.format(Locale.ROOT, """
				{"name":"%s","failureDomain":"z%s","dataFolder":"%s","listenAddress":"%s:%d","operatorAddress":"%s",
				"metricsAddress":"%s:%d","seedAddresses":%s,"firstStart":%b,"toleratedLosses":1,
				"clusterSecret":"zinniatack-on-trentvale","platformAddress":"%s","usageWindowS":5,"usageGraceMs":2500,
				"jobRetentionS":120,"stopTimeoutS":8}""", name, name.substring(name.length() - 1),
				this.folder.resolve(name), host(name), this.port, controlAddress(name), host(name), this.port + 1,
				seeds(), firstStart, this.platformAddress);
	}

	private String frontSettings(String name) {
		return String.format(Locale.ROOT, """
				{"name":"%s","failureDomain":"z1","callerAddress":"%s:%d","readinessAddress":"%s:%d",
				"metricsAddress":"%s:%d","seedAddresses":%s,"clusterPort":%d,
				"clusterSecret":"zinniatack-on-trentvale","usageWindowS":5,"usageIntervalMs":500,"stopTimeoutS":8,
				"closeWithoutControl":false}""", name, host(name), this.port + 3, host(name), this.port + 4,
				host(name), this.port + 1, seeds(), this.port);
	}

	boolean isAlive(String name) {
		return this.processes.get(name).isAlive();
	}

	/** Kills processes at the same moment and waits until they have ended. */
	void kill(List<String> names) throws InterruptedException {
		names.forEach((name) -> this.processes.get(name).destroyForcibly());
		this.recorder.log("SIGKILL %s", names);
		for (String name : names) {
			this.processes.get(name).waitFor();
		}
	}

	Path log(String name) {
		return this.folder.resolve(name + ".log");
	}

	/** Returns whether the log of a process contains a text. */
	boolean logged(String name, String text) throws IOException {
		return Files.exists(log(name)) && Files.readString(log(name)).contains(text);
	}

	Path dataFolder(String name) {
		return this.folder.resolve(name);
	}

	@Override
	public synchronized void close() throws IOException, InterruptedException {
		this.closed = true;
		this.processes.values().forEach(Process::destroyForcibly);
		for (Process process : this.processes.values()) {
			process.waitFor(5, TimeUnit.SECONDS);
		}
		if (System.getenv("KEEP") != null) {
			System.out.println("kept " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

}
