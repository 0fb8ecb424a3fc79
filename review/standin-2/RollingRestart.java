import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Restarts two control processes in turn, as for an update, while trainers name versions. */
final class RollingRestart {

	private static final int CONTROLS = 5;

	private static final int TOLERATED_LOSSES = 2;

	private static final int WORKERS = setting("WORKERS", 2);

	/** The model whose order is waited for, empty for any. */
	private static final String AWAITED = System.getenv().getOrDefault("AWAITED", "m1");

	/** The time from the order that is waited for to the first stop. */
	private static final int AFTER_MS = setting("AFTER_MS", 600);

	private static final List<String> MODELS = List.of("m0", "m1", "m2");

	private static final long LEASE_MS = 3_000;

	private static final long GAP_MS = 1_300;

	private static final long STEP_MS = 4_000;

	/** More than catchUpS, so that no more than two machines are lost at a time. */
	private static final long PAUSE_MS = 8_000;

	private static final long END_MS = 80_000;

	private RollingRestart() {
	}

	private static int setting(String name, int usual) {
		String value = System.getenv(name);
		return (value != null) ? Integer.parseInt(value) : usual;
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
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
		if (rig.order("/zinniatack/config/replace", configuration(), 20_000) == 0) {
			rig.note("the configuration was not acknowledged");
			return 2;
		}
		List<ModelWorker> workers = new ArrayList<>();
		for (int number = 1; number <= WORKERS; number++) {
			ModelWorker worker = new ModelWorker(rig, number, "svc", MODELS);
			worker.start();
			workers.add(worker);
		}
		Thread.sleep(3_000);
		for (int index = 0; index < MODELS.size(); index++) {
			startTrainer(rig, MODELS.get(index), index * STEP_MS / MODELS.size());
		}
		Thread.sleep(6_000);
		while (rig.nowMs() < END_MS) {
			if (trouble) {
				restartTwo(rig, workers);
			}
			Thread.sleep(PAUSE_MS);
		}
		return verdict(rig, workers);
	}

	private static String configuration() {
		return """
				{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"rollout",
				"timeoutMs":10000,"targetLatencyMs":400,"priority":0,"service":"svc","maxAttempts":3,"public":false,
				"resultDeadlineMs":7500,"queueTtlS":40}],"services":[{"name":"svc","healthPath":"/health",
				"maxConns":180,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":100000,
				"models":[{"name":"m0"},{"name":"m1"},{"name":"m2"}]}}],"limits":{"maxHeaderBytes":16384,
				"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]}
				""";
	}

	/** Names a version every four seconds, each one higher than the one before. */
	private static void startTrainer(Rig rig, String model, long delayMs) {
		Thread trainer = new Thread(() -> {
			try {
				Thread.sleep(delayMs);
				for (long version = 2;; version++) {
					long namedAtMs = rig.nowMs();
					int status = rig.order(Rig.TRAINER_PATH,
							"{\"model\":\"%s\",\"version\":%d}".formatted(model, version), 20_000);
					rig.note("version %d of %s is named, answered %d", version, model, status);
					Thread.sleep(Math.max(0, namedAtMs + STEP_MS - rig.nowMs()));
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		trainer.setDaemon(true);
		trainer.start();
	}

	/** Stops and starts the machine that gave the last order, and then the one that gives orders after it. */
	private static void restartTwo(Rig rig, List<ModelWorker> workers) throws Exception {
		long sinceMs = rig.nowMs();
		Optional<ModelWorker.Order> last = awaitOrder(workers, sinceMs, sinceMs + 5_000);
		if (last.isEmpty()) {
			rig.note("no order in 5 s");
			return;
		}
		Thread.sleep(AFTER_MS);
		long firstAtMs = rig.nowMs();
		String first = last.get().holder();
		restart(rig, first);
		long waitMs = firstAtMs + GAP_MS - rig.nowMs();
		Thread.sleep(Math.max(0, waitMs));
		String second = lastOrder(workers).map(ModelWorker.Order::holder).orElse(first);
		if (!second.equals(first)) {
			restart(rig, second);
		}
	}

	private static void restart(Rig rig, String name) throws Exception {
		rig.note("SIGTERM to %s", name);
		rig.signal(name, "TERM");
		Thread starter = new Thread(() -> {
			try {
				rig.awaitEnd(name);
				Thread.sleep(200);
				rig.startControl(Integer.parseInt(name.substring(name.indexOf('-') + 1)), false);
				rig.note("%s is started again", name);
			}
			catch (Exception ex) {
				rig.note("%s cannot be started: %s", name, ex);
			}
		});
		starter.start();
	}

	private static Optional<ModelWorker.Order> awaitOrder(List<ModelWorker> workers, long sinceMs, long untilMs)
			throws InterruptedException {
		for (long waitedMs = 0; waitedMs < untilMs - sinceMs; waitedMs += 10) {
			Optional<ModelWorker.Order> last = lastOrder(workers)
				.filter((order) -> order.atMs() >= sinceMs && (AWAITED.isEmpty() || order.model().equals(AWAITED)));
			if (last.isPresent()) {
				return last;
			}
			Thread.sleep(10);
		}
		return Optional.empty();
	}

	private static Optional<ModelWorker.Order> lastOrder(List<ModelWorker> workers) {
		return workers.stream()
			.flatMap((worker) -> worker.orders().stream())
			.max(Comparator.comparingLong(ModelWorker.Order::atMs));
	}

	/** Checks that no holders take turns at a worker within the lease, and that tokens don't fall. */
	private static int verdict(Rig rig, List<ModelWorker> workers) {
		int turns = 0;
		int orderCount = 0;
		int acceptedTurns = 0;
		for (ModelWorker worker : workers) {
			List<ModelWorker.Order> orders = worker.orders();
			orderCount += orders.size();
			for (int last = 0; last < orders.size(); last++) {
				turns += isTurn(rig, worker, orders, last) ? 1 : 0;
			}
			List<ModelWorker.Order> accepted = orders.stream().filter((order) -> order.status() / 100 == 2).toList();
			for (int last = 0; last < accepted.size(); last++) {
				acceptedTurns += isTurn(rig, worker, accepted, last) ? 1 : 0;
			}
		}
		rig.note("%d orders, %d times holders took turns or a token fell, %d times with accepted orders only", orderCount,
				turns, acceptedTurns);
		if (orderCount == 0) {
			return 2;
		}
		return (turns > 0) ? 1 : 0;
	}

	private static boolean isTurn(Rig rig, ModelWorker worker, List<ModelWorker.Order> orders, int last) {
		ModelWorker.Order third = orders.get(last);
		String between = null;
		for (int index = last - 1; index >= 0; index--) {
			ModelWorker.Order earlier = orders.get(index);
			if (earlier.token() > third.token()) {
				rig.note("BROKEN: at %s the token falls from %d to %d at %.3f s", worker.id, earlier.token(),
						third.token(), third.atMs() / 1_000.0);
				return true;
			}
			if (third.atMs() - earlier.atMs() > LEASE_MS) {
				return false;
			}
			if (!earlier.holder().equals(third.holder())) {
				between = earlier.holder();
			}
			else if (between != null) {
				rig.note("BROKEN: at %s %s gives an order at %.3f s, then %s, then %s again at %.3f s", worker.id,
						third.holder(), earlier.atMs() / 1_000.0, between, third.holder(), third.atMs() / 1_000.0);
				return true;
			}
		}
		return false;
	}

}
