import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A batch job is sent to a front that stands still. The client gives up and ends the
 * batch job at another front, which acknowledges the end. Then the first front wakes.
 */
final class EndedThenRun {

	private static final int FREEZE_MS = 1_700;

	private static final int PATIENCE_MS = 600;

	private static final int CANCEL_MS = 3_000;

	private static final int WATCH_MS = 14_000;

	private static final int WORKERS = 2;

	private static final int SLOTS = 8;

	private static final int ITEMS = 64;

	private EndedThenRun() {
	}

	public static void main(String[] arguments) {
		Cases.exit(() -> run(Path.of(arguments[0])));
	}

	private static int run(Path recordFile) throws Exception {
		List<Long> runsAtMs = Collections.synchronizedList(new ArrayList<>());
		try (Rig rig = new Rig(recordFile)) {
			rig.start(2, Rig.smallBounds());
			for (int i = 1; i <= WORKERS; i++) {
				new Worker(rig, "127.0.3." + i, "w-" + i, "drafts", SLOTS, "m", (request) -> {
					runsAtMs.add(rig.nowMs());
					return Worker.Plan.events(40, 60);
				});
			}
			Steps.configure(rig, 3);
			rig.awaitReady();
			// Longer than contactMs, so that all machines are in touch.
			Thread.sleep(4_000);
			long frozenAtMs = rig.nowMs();
			if (Cases.trouble()) {
				rig.signal("STOP", "front-1");
			}
			rig.client(1, "POST", "/draft/lot", "lot-a", Steps.job(0, 1, ITEMS, "lot-a"), PATIENCE_MS);
			Http.Answer end = rig.client(2, "DELETE", "/zinniatack/lots/lot-a", "end-a", "", 3_000);
			long endedAtMs = rig.nowMs();
			if (Cases.trouble()) {
				Thread.sleep(Math.max(0, FREEZE_MS - (rig.nowMs() - frozenAtMs)));
				rig.signal("CONT", "front-1");
			}
			Thread.sleep(WATCH_MS);
			if (end.status() != Rig.OK) {
				rig.note("the end was not acknowledged, so nothing can be judged");
				return Cases.NOT_RUN;
			}
			rig.client(2, "GET", "/zinniatack/lots/lot-a?after=0", "read-a", "", 3_000);
			long late = runsAtMs.stream().filter((at) -> at > endedAtMs + CANCEL_MS).count();
			rig.note("%d runs of items; %d began later than %d ms after the end was acknowledged", runsAtMs.size(),
					late, CANCEL_MS);
			return (late > 0) ? Cases.BROKEN : Cases.HELD;
		}
	}

}
