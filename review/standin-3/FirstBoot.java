import java.nio.file.Path;

/**
 * In the first half second of the first start one of three control machines is lost for
 * good, and an empty one replaces it at another address.
 */
final class FirstBoot {

	private static final int LOST_AFTER_MS = 150;

	private static final int REPLACED_AFTER_MS = 1_000;

	private static final int REQUESTS = 6;

	private static final int LIMIT_MS = 30_000;

	private FirstBoot() {
	}

	public static void main(String[] arguments) {
		Cases.exit(() -> run(Path.of(arguments[0])));
	}

	private static int run(Path recordFile) throws Exception {
		try (Rig rig = new Rig(recordFile)) {
			rig.start(2, Rig.smallBounds());
			if (Cases.trouble()) {
				Thread.sleep(LOST_AFTER_MS);
				rig.replaceControl(3, REPLACED_AFTER_MS);
			}
			new Worker(rig, "127.0.3.1", "w-1", "app", 4, "", (request) -> Worker.Plan.answer("desk 1: Ada", 20));
			boolean acknowledged = rig.configure(Steps.routes(3), Steps.services(), LIMIT_MS);
			int served = 0;
			for (int i = 0; i < REQUESTS; i++) {
				Thread.sleep(500);
				served += (rig.client(1 + i % 2, "POST", "/view/desk", "view-" + i, "{}", 2_000)
					.status() == Rig.OK) ? 1 : 0;
			}
			rig.note("configuration %s; %d of %d requests served", acknowledged ? "acknowledged"
					: "not acknowledged in " + LIMIT_MS + " ms", served, REQUESTS);
			return acknowledged ? Cases.HELD : Cases.BROKEN;
		}
	}

}
