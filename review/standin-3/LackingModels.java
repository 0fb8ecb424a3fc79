import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Another writer sends one heartbeat for each of two of three model workers. It lacks the
 * field models. Then a trainer submits its first batch job.
 */
final class LackingModels {

	private static final int WORKERS = 3;

	private static final int FOREIGN = 2;

	private static final int SLOTS = 4;

	private static final int ITEMS = 60;

	/** `resultDeadlineMs` of the route, and for how long clients wait beyond it. */
	private static final int STEP_MS = 7_500 + 1_500;

	private static final int UNSENT_MS = 5_000;

	private static final int SEQUENCE_LEAD = 1_000;

	private LackingModels() {
	}

	public static void main(String[] arguments) {
		Cases.exit(() -> run(Path.of(arguments[0])));
	}

	private static int run(Path recordFile) throws Exception {
		Set<String> begun = ConcurrentHashMap.newKeySet();
		try (Rig rig = new Rig(recordFile)) {
			rig.start(2, Rig.smallBounds());
			List<Worker> workers = new ArrayList<>();
			for (int i = 1; i <= WORKERS; i++) {
				workers.add(new Worker(rig, "127.0.3." + i, "w-" + i, "drafts", SLOTS, "m", (request) -> {
					begun.add(request.requestId());
					return Worker.Plan.events(20, 60);
				}));
			}
			Steps.configure(rig, 3);
			rig.awaitReady();
			Thread.sleep(4_000);
			if (Cases.trouble()) {
				for (Worker worker : workers.subList(0, FOREIGN)) {
					announceWithoutModels(rig, worker);
				}
			}
			Thread.sleep(1_000);
			if (rig.client(1, "POST", "/draft/lot", "lot-e", Steps.job(0, 1, ITEMS, "lot-e"), 4_000)
				.status() != Rig.ACCEPTED) {
				return Cases.NOT_RUN;
			}
			Thread.sleep(STEP_MS - UNSENT_MS);
			List<Integer> busy = Collections.synchronizedList(new ArrayList<>());
			for (int waited = 0; waited < UNSENT_MS; waited += 50) {
				busy.add(workers.stream().mapToInt(Worker::running).sum());
				Thread.sleep(50);
			}
			int unsent = ITEMS - begun.size();
			double share = busy.stream().mapToInt(Integer::intValue).average().orElse(0) / (WORKERS * SLOTS);
			rig.client(2, "GET", "/zinniatack/lots/lot-e?after=0", "read-e", "", 3_000);
			rig.client(2, "DELETE", "/zinniatack/lots/lot-e", "end-e", "", 3_000);
			rig.note("when the step's time was up, %d of its %d items had begun and %d had been at no worker; in the "
					+ "last %d ms %.0f %% of the slots were taken", begun.size(), ITEMS, unsent, UNSENT_MS, 100 * share);
			return (unsent > 0 && !begun.isEmpty() && share < 0.5) ? Cases.BROKEN : Cases.HELD;
		}
	}

	private static void announceWithoutModels(Rig rig, Worker worker) {
		String body = worker.heartbeat(SEQUENCE_LEAD).replaceFirst(",\"models\":\\[.*?}]", "");
		Http.Answer answer = Http.send(rig.control(1), "POST", "/zinniatack/instances/" + worker.id() + "/heartbeat",
				Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1_000);
		rig.note("another writer: %s %s -> %s", worker.id(), body, answer.shown());
	}

}
