import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * An item of a batch job fails at each run: its worker works on it for a while and
 * answers 500. Meanwhile the control process that leads is killed again and again.
 */
final class FailingItem {

	private static final int WORK_MS = 1_300;

	private static final int PERIOD_MS = 5_000;

	private static final int RESTART_MS = 500;

	private static final int CONTACT_MS = 3_000;

	private static final int KILLS = 4;

	private static final int MAX_ATTEMPTS = 4;

	private static final int ALLOWED = 3 * MAX_ATTEMPTS;

	private FailingItem() {
	}

	public static void main(String[] arguments) {
		Cases.exit(() -> run(Path.of(arguments[0])));
	}

	private static int run(Path recordFile) throws Exception {
		List<Long> runsAtMs = Collections.synchronizedList(new ArrayList<>());
		List<Long> failedAtMs = Collections.synchronizedList(new ArrayList<>());
		try (Rig rig = new Rig(recordFile)) {
			rig.start(1, Rig.smallBounds());
			for (int i = 1; i <= 3; i++) {
				new Worker(rig, "127.0.3." + i, "w-" + i, "drafts", 4, "m", (request) -> {
					if (!request.requestId().equals("bad")) {
						return Worker.Plan.events(8, 60);
					}
					runsAtMs.add(rig.nowMs());
					return Worker.Plan.failure(500, WORK_MS).then(() -> failedAtMs.add(rig.nowMs()));
				});
			}
			Steps.configure(rig, MAX_ATTEMPTS);
			rig.awaitReady();
			Thread.sleep(4_000);
			List<String> items = List.of(Steps.item("bad", "g-1"), Steps.item("good", "g-1"));
			Http.Answer accepted = rig.client(1, "POST", "/draft/lot", "lot-b", Steps.job(0, 1, 1, items), 4_000);
			if (accepted.status() != Rig.ACCEPTED) {
				return Cases.NOT_RUN;
			}
			List<Long> disturbedAtMs = new ArrayList<>();
			for (int kill = 0; kill < KILLS; kill++) {
				Thread.sleep(PERIOD_MS - RESTART_MS);
				if (Cases.trouble()) {
					String leader = rig.leader();
					rig.signal("KILL", leader);
					Thread.sleep(RESTART_MS);
					rig.restart(leader);
					disturbedAtMs.add(rig.nowMs());
				}
			}
			Thread.sleep(PERIOD_MS);
			rig.client(1, "GET", "/zinniatack/lots/lot-b?after=0", "read", "", 3_000);
			return judge(rig, runsAtMs, failedAtMs, disturbedAtMs);
		}
	}

	/** Counts the runs after the allowed failures by machines that are in touch. */
	private static int judge(Rig rig, List<Long> runs, List<Long> failures, List<Long> disturbances) {
		long late = 0;
		for (long run : runs) {
			long before = failures.stream().filter((at) -> at < run).count();
			boolean inTouch = disturbances.stream()
				.noneMatch((at) -> at + CONTACT_MS > run && at - RESTART_MS <= run);
			rig.note("run at %.3f s after %d answers of 500, %s", run / 1_000.0, before,
					inTouch ? "all machines in touch" : "control was disrupted within the last 3 s");
			late += (before >= ALLOWED && inTouch) ? 1 : 0;
		}
		rig.note("%d answers of 500, %d allowed; %d later runs from machines in touch", failures.size(), ALLOWED, late);
		return (late > 0) ? Cases.BROKEN : Cases.HELD;
	}

}
