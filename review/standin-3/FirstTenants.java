import java.nio.file.Path;

/**
 * A batch job is accepted before the configuration names any tenant. Then the operator
 * names the first one, and a client sends the batch job again, now with its key.
 */
final class FirstTenants {

	private static final int SETTLE_MS = 1_000;

	private FirstTenants() {
	}

	public static void main(String[] arguments) {
		Cases.exit(() -> run(Path.of(arguments[0])));
	}

	private static int run(Path recordFile) throws Exception {
		try (Rig rig = new Rig(recordFile)) {
			rig.setTenants(false);
			rig.start(2, Rig.smallBounds());
			for (int i = 1; i <= 2; i++) {
				new Worker(rig, "127.0.3." + i, "w-" + i, "drafts", 4, "m", (request) -> Worker.Plan.events(40, 60));
			}
			Steps.configure(rig, 3);
			rig.awaitReady();
			Thread.sleep(4_000);
			String job = Steps.job(0, 1, 4, "lot-d");
			if (rig.client(1, "POST", "/draft/lot", "lot-d", job, 4_000).status() != Rig.ACCEPTED) {
				return Cases.NOT_RUN;
			}
			Thread.sleep(4_000);
			if (!read(rig, 1).text().contains("\"next\":4")) {
				return Cases.NOT_RUN;
			}
			if (Cases.trouble()) {
				rig.setTenants(true);
				Steps.configure(rig, 3);
				Thread.sleep(2_500);
			}
			read(rig, 2);
			rig.client(1, "POST", "/draft/lot", "lot-d", job, 4_000);
			boolean lost = false;
			for (int i = 0; i < 4; i++) {
				Thread.sleep(SETTLE_MS / 2);
				Http.Answer page = read(rig, 1 + i % 2);
				lost |= page.status() == Rig.OK && page.text().contains("\"next\":0");
			}
			rig.note("results that had been read %s", lost ? "are gone" : "are still there");
			return lost ? Cases.BROKEN : Cases.HELD;
		}
	}

	private static Http.Answer read(Rig rig, int front) {
		return rig.client(front, "GET", "/zinniatack/lots/lot-d?after=0", "read-d", "", 3_000);
	}

}
