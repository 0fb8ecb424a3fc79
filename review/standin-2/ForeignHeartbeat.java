import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Another writer sends one heartbeat under the id of each worker, with a service that the configuration does not name,
 * while a batch job runs.
 */
final class ForeignHeartbeat {

	private static final int CONTROLS = 3;

	private static final int TOLERATED_LOSSES = 1;

	private static final int WORKERS = 3;

	/** Three times as many items as the workers have slots. */
	private static final int ITEMS = 3 * WORKERS * ModelWorker.SLOTS;

	private static final int GROUP = 8;

	/** How much higher the foreign writer counts its heartbeats than the worker does. */
	private static final long COUNT_LEAD = 1_000;

	/** The trainer gives up then. */
	private static final long PATIENCE_MS = 12_000;

	/** The rule: an item must not be at no worker for so long. */
	private static final long IDLE_MS = 5_000;

	private static final String[] CALLER = { "Host", "h.example", "Key", "key-of-t1" };

	private ForeignHeartbeat() {
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
		int status = 2;
		try (Rig rig = new Rig(CONTROLS, TOLERATED_LOSSES, "", Path.of(arguments[0], "record.txt"))) {
			status = run(rig, trouble);
		}
		catch (Exception | Error ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static int run(Rig rig, boolean trouble) throws Exception {
		for (int machine = 1; machine <= CONTROLS; machine++) {
			rig.startControl(machine, true);
		}
		rig.startFront(1);
		if (rig.order("/zinniatack/config/replace", configuration(), 20_000) == 0) {
			rig.note("the configuration was not acknowledged");
			return 2;
		}
		List<ModelWorker> workers = new ArrayList<>();
		for (int number = 1; number <= WORKERS; number++) {
			ModelWorker worker = new ModelWorker(rig, number, "svc", List.of("m0"));
			worker.start();
			workers.add(worker);
		}
		Thread.sleep(4_000);
		if (!submit(rig)) {
			rig.note("the batch job was not accepted");
			return 2;
		}
		long submittedAtMs = rig.nowMs();
		Thread.sleep(700);
		if (trouble && "own".equals(System.getenv("WRITER"))) {
			startOwnHeartbeats(rig, workers);
		}
		else if (trouble) {
			for (ModelWorker worker : workers) {
				rig.note("another writer's heartbeat for %s, service other-svc, answered %d", worker.id,
						foreignHeartbeat(rig, worker));
			}
		}
		while (rig.nowMs() < submittedAtMs + PATIENCE_MS && finished(workers).size() < ITEMS) {
			Thread.sleep(100);
		}
		Thread.sleep(500);
		long endedAtMs = rig.nowMs();
		Rig.Answer page = Rig.call("GET", rig.frontAddress(1), "/zinniatack/lots/job-1?after=0", null, 2_000, CALLER);
		Rig.Answer end = Rig.call("DELETE", rig.frontAddress(1), "/zinniatack/lots/job-1", null, 2_000, CALLER);
		rig.note("%.1f s after its submission %d of %d items are listed; the job is ended, answered %d",
				(endedAtMs - submittedAtMs) / 1_000.0, count(page.body()), ITEMS, end.status());
		return verdict(rig, workers, endedAtMs);
	}

	private static String configuration() {
		return """
				{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"rollout",
				"timeoutMs":10000,"targetLatencyMs":400,"priority":0,"service":"svc","maxAttempts":3,"public":false,
				"resultDeadlineMs":7500,"queueTtlS":40}],"services":[{"name":"svc","healthPath":"/health",
				"maxConns":180,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":100000,
				"models":[{"name":"m0"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,
				"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]}
				""";
	}

	private static String itemId(int number) {
		return "item-" + number;
	}

	private static boolean submit(Rig rig) throws InterruptedException {
		List<String> items = new ArrayList<>();
		for (int number = 0; number < ITEMS; number++) {
			items.add(("{\"id\":\"%s\",\"path\":\"/a/x/%d\",\"headers\":{\"Model\":\"m0\",\"Token-Usage\":\"500,400\","
					+ "\"Prompt-Prefix\":\"ab%d:300,cd%d:200\"},\"body\":\"%s\",\"tokens\":900,\"group\":\"g%d\"}")
				.formatted(itemId(number), number, number / GROUP, number,
						Base64.getEncoder().encodeToString(itemId(number).getBytes()), number / GROUP));
		}
		String json = "{\"step\":0,\"model\":\"m0\",\"minVersion\":1,\"desired\":%d,\"requests\":[%s]}"
			.formatted(ITEMS / GROUP, String.join(",", items));
		for (int attempt = 0; attempt < 20; attempt++) {
			Rig.Answer answer = Rig.call("POST", rig.frontAddress(1), "/a/job-1", json, 4_000, "Host", "h.example",
					"Key", "key-of-t1", "Request-Id", "job-1", "Deadline-Ms", "12000");
			rig.note("batch job of %d items submitted, answered %d", ITEMS, answer.status());
			if (answer.status() == 202) {
				return true;
			}
			Thread.sleep(500);
		}
		return false;
	}

	/**
	 * Lets the other writer announce itself under ids of its own, at the addresses of the workers, as often as workers
	 * do.
	 */
	private static void startOwnHeartbeats(Rig rig, List<ModelWorker> workers) {
		long bornMs = System.currentTimeMillis();
		Thread writer = new Thread(() -> {
			for (long count = 1;; count++) {
				for (ModelWorker worker : workers) {
					int status = heartbeat(rig, "x-" + worker.id, worker.address(), count, bornMs);
					rig.note("another writer's heartbeat for x-%s at the address of %s, service other-svc, answered %d",
							worker.id, worker.id, status);
				}
				try {
					Thread.sleep(1_200);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		});
		writer.setDaemon(true);
		writer.start();
	}

	private static int foreignHeartbeat(Rig rig, ModelWorker worker) {
		return heartbeat(rig, worker.id, worker.address(), worker.beat() + COUNT_LEAD, worker.bornMs());
	}

	private static int heartbeat(Rig rig, String id, String address, long count, long bornMs) {
		String json = ("{\"service\":\"other-svc\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":8,"
				+ "\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"mixed\",\"models\":[],\"seq\":%d,\"born\":%d}")
			.formatted(address, count, bornMs);
		return Rig.call("POST", rig.controlAddress(1), "/zinniatack/instances/" + id + "/heartbeat", json, 1_000)
			.status();
	}

	private static int count(String page) {
		Matcher next = Pattern.compile("\"next\":(\\d+)").matcher(page);
		return next.find() ? Integer.parseInt(next.group(1)) : 0;
	}

	private static Set<String> finished(List<ModelWorker> workers) {
		Set<String> ids = new TreeSet<>();
		workers.forEach((worker) -> worker.runs()
			.stream()
			.filter((run) -> run.finished)
			.forEach((run) -> ids.add(run.itemId)));
		return ids;
	}

	/** Checks that no unfinished item was at no worker for the last five seconds, while the workers had room. */
	private static int verdict(Rig rig, List<ModelWorker> workers, long endedAtMs) {
		Set<String> finished = finished(workers);
		Set<String> seenLately = new TreeSet<>();
		int begun = 0;
		for (ModelWorker worker : workers) {
			for (ModelWorker.Run run : worker.runs()) {
				begun++;
				if (run.endedAtMs == 0 || run.endedAtMs > endedAtMs - IDLE_MS) {
					seenLately.add(run.itemId);
				}
			}
		}
		int idle = 0;
		for (int number = 0; number < ITEMS; number++) {
			idle += (finished.contains(itemId(number)) || seenLately.contains(itemId(number))) ? 0 : 1;
		}
		rig.note("%d runs have begun, %d of %d items are finished, %d were at no worker for the last 5 s; the workers "
				+ "had %d requests in these 5 s", begun, finished.size(), ITEMS, idle, seenLately.size());
		if (begun == 0) {
			return 2;
		}
		boolean halfFull = seenLately.size() >= WORKERS * ModelWorker.SLOTS / 2;
		return (idle > 0 && !halfFull) ? 1 : 0;
	}

}
