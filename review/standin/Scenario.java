import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment with an operator, the platform's API, a plain service and model
 * workers. A case runs its steps and ends with 0 if the rule held, 1 if it was broken and
 * 2 if the case could not run.
 */
abstract class Scenario {

	static final String HOST = "review.example";

	static final String KEY = "2b9wu3fexd9dnn2ctnfz";

	static final String LLM = "modelo-pareceres";

	static final String PORTAL = "portal-licencas";

	final Path root;

	final Recorder recorder;

	final boolean trouble;

	final List<Worker> workers = new ArrayList<>();

	Deployment deployment;

	private final AtomicLong tableNumber = new AtomicLong();

	Scenario(String[] arguments) {
		this.root = Path.of(arguments[0]).toAbsolutePath();
		this.recorder = new Recorder(Path.of(arguments[1]).resolve("record.txt"));
		this.trouble = !"0".equals(System.getenv("TROUBLE"));
	}

	/** Runs the case and returns whether the rule was broken. */
	abstract boolean isRuleBroken() throws Exception;

	/** Signals that the case could not run. */
	static final class NotRunException extends RuntimeException {

		NotRunException(String message) {
			super(message);
		}

	}

	final void runAndExit(int frontCount) {
		int code = 2;
		try (ServerSocket platform = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
			Worker.thread(() -> servePlatform(platform));
			this.deployment = new Deployment(this.root, this.recorder, frontCount,
					"127.0.0.1:" + platform.getLocalPort());
			Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
			this.deployment.startAll();
			putConfiguration();
			this.recorder.say("trouble: %s", this.trouble ? "yes" : "no");
			boolean broken = isRuleBroken();
			this.recorder.say(broken ? "the rule was broken" : "the rule held");
			code = broken ? 1 : 0;
		}
		catch (Exception ex) {
			this.recorder.say("the case could not run: %s", ex);
		}
		System.exit(code);
	}

	private void closeAll() {
		try {
			for (Worker worker : this.workers) {
				worker.close();
			}
			this.deployment.close();
		}
		catch (IOException | InterruptedException ex) {
			System.err.println("cannot clean up: " + ex);
		}
	}

	private void servePlatform(ServerSocket server) {
		while (!server.isClosed()) {
			try (Socket socket = server.accept()) {
				Http.Message request = Http.read(new java.io.BufferedInputStream(socket.getInputStream()));
				this.recorder.log("platform: %s %s token %s", request.firstLine(), request.text(),
						request.header("Fencing-Token"));
				socket.getOutputStream()
					.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
						.getBytes(StandardCharsets.ISO_8859_1));
			}
			catch (IOException | RuntimeException ex) {
				// The caller went away.
			}
		}
	}

	/** Sends the configuration until it is acknowledged. */
	final void putConfiguration() {
		addRoute("");
	}

	/** Sends the configuration with a further route until it is acknowledged. */
	final void addRoute(String route) {
		long number = this.tableNumber.incrementAndGet();
		String body = """
				{"version":%d,"routes":[
				{"name":"r-call","host":"%2$s","pathPrefix":"/call/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":186,"priority":2,"service":"%3$s","maxAttempts":2,"public":false},
				{"name":"r-job","host":"%2$s","pathPrefix":"/job/","kind":"rollout","timeoutMs":10000,"targetLatencyMs":400,"priority":0,"service":"%4$s","maxAttempts":3,"public":false,"resultDeadlineMs":7500,"queueTtlS":40,"resumable":true,"sticky":true}%6$s],
				"services":[{"name":"%4$s","healthPath":"/health","maxConns":180,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":100000,"models":[{"name":"m0"}]}},
				{"name":"%3$s","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"huka270","apiKeys":["%5$s"],"priority":1}]}"""
			.formatted(number, HOST, PORTAL, LLM, KEY, route.isEmpty() ? "" : "," + route);
		callControl("POST", "/zinniatack/config/replace", body, 30_000);
		this.recorder.log("configuration %d acknowledged", number);
	}

	/** Calls control processes in turn until one answers with a success. */
	final void callControl(String method, String uri, String body, long timeoutMs) {
		long endMs = this.recorder.nowMs() + timeoutMs;
		for (int turn = 0; this.recorder.nowMs() < endMs; turn++) {
			List<String> addresses = this.deployment.controlAddresses();
			try {
				Http.Message answer = Http.call(addresses.get(turn % addresses.size()), method, uri,
						Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1_000);
				if (answer.status() / 100 == 2) {
					return;
				}
			}
			catch (IOException ex) {
				// Tried again at the next one.
			}
			Worker.sleep(150);
		}
		throw new NotRunException("no control process acknowledged " + uri);
	}

	/** Sends a client attempt to a front and returns the status, or 0 without a response. */
	final int attempt(String front, String path, String requestId, String body, int deadlineMs) {
		try {
			int status = Http
				.call(front, "POST", path,
						Map.of("Host", HOST, "Key", KEY, "Request-Id", requestId, "Deadline-Ms",
								String.valueOf(deadlineMs)),
						body.getBytes(StandardCharsets.UTF_8), deadlineMs + 500)
				.status();
			this.recorder.log("client: %s %s answered %d", requestId, path, status);
			return status;
		}
		catch (IOException ex) {
			this.recorder.log("client: %s %s got no answer: %s", requestId, path, ex.getMessage());
			return 0;
		}
	}

	/** Waits until a call to the plain service succeeds at each front. */
	final void awaitService() {
		for (String front : this.deployment.frontAddresses()) {
			long endMs = this.recorder.nowMs() + 25_000;
			while (attempt(front, "/call/warm-up", newId(), "", 1_500) != 200) {
				if (this.recorder.nowMs() > endMs) {
					throw new NotRunException("the plain service is not served");
				}
				Worker.sleep(200);
			}
		}
	}

	static String newId() {
		return "%016x".formatted(java.util.concurrent.ThreadLocalRandom.current().nextLong());
	}

	/** Returns the items of a job as JSON. */
	static String jobBody(List<String> itemIds, int bodyBytes) {
		String body = java.util.Base64.getEncoder().encodeToString(new byte[bodyBytes]);
		List<String> items = new ArrayList<>();
		for (String id : itemIds) {
			items.add("{\"id\":\"" + id + "\",\"path\":\"/job/run\",\"headers\":{\"Model\":\"m0\",\"Token-Usage\":\"540,400\",\"Prompt-Prefix\":\"9c2e41:300,"
					+ id.substring(0, 6) + ":240\"},\"body\":\"" + body + "\",\"tokens\":940,\"group\":\"g1\"}");
		}
		return "{\"step\":0,\"model\":\"m0\",\"minVersion\":1,\"desired\":1,\"requests\":[" + String.join(",", items)
				+ "]}";
	}

	/** Submits a job until it is accepted, and returns the last status. */
	final int submitJob(String jobId, String body, long timeoutMs) {
		long endMs = this.recorder.nowMs() + timeoutMs;
		int status = 0;
		for (int turn = 0; this.recorder.nowMs() < endMs; turn++) {
			List<String> fronts = this.deployment.frontAddresses();
			status = attempt(fronts.get(turn % fronts.size()), "/job/" + jobId, jobId, body, 3_000);
			if (status == 202) {
				return status;
			}
			Worker.sleep(300);
		}
		return status;
	}

	/** Reads all results of a job and returns the state by item, or null if unreadable. */
	final Map<String, String> readJob(String front, String jobId) {
		Map<String, String> states = new HashMap<>();
		try {
			while (true) {
				Http.Message answer = Http.call(front, "GET", "/zinniatack/lots/" + jobId + "?after=" + states.size(),
						Map.of("Host", HOST, "Key", KEY), new byte[0], 2_500);
				if (answer.status() != 200) {
					this.recorder.log("client: read of job %s answered %d", jobId, answer.status());
					return null;
				}
				int before = states.size();
				Matcher matcher = Pattern.compile("\\{\"id\":\"([^\"]*)\",\"state\":\"([a-z]*)\"").matcher(answer.text());
				while (matcher.find()) {
					states.put(matcher.group(1), matcher.group(2));
				}
				if (states.size() == before) {
					return states;
				}
			}
		}
		catch (IOException ex) {
			this.recorder.log("client: read of job %s got no answer: %s", jobId, ex.getMessage());
			return null;
		}
	}

	final Worker addWorker(Worker worker) {
		this.workers.add(worker);
		worker.start();
		return worker;
	}

}
