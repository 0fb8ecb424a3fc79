import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer announces the addresses of the model workers under ids of its own, in
 * heartbeats that lack fields.
 */
final class ForeignHeartbeat extends Scenario {

	private static final int WORKERS = 3;

	private static final int ITEMS = 48;

	private static final long STEP_DEADLINE_MS = 7_500;

	private final AtomicInteger runs = new AtomicInteger();

	private volatile long lastRunMs;

	private ForeignHeartbeat(String[] arguments) {
		super(arguments);
	}

	public static void main(String[] arguments) {
		new ForeignHeartbeat(arguments).runAndExit(2);
	}

	@Override
	boolean isRuleBroken() throws Exception {
		addWorker(new Worker("portal-1", PORTAL, "127.0.0.1", 0, this.deployment.controlAddresses(), this.recorder));
		List<Worker> models = new ArrayList<>();
		for (int n = 1; n <= WORKERS; n++) {
			models.add(addWorker(new ModelWorker("model-" + n)));
		}
		awaitService();
		Worker.sleep(4_000);
		List<String> items = new ArrayList<>();
		for (int n = 0; n < ITEMS; n++) {
			items.add(newId());
		}
		String job = newId();
		if (submitJob(job, jobBody(items, 600), 10_000) != 202) {
			throw new NotRunException("the job was not accepted");
		}
		Worker.sleep(300);
		if (this.trouble) {
			for (Worker model : models) {
				sendForeign(model);
			}
		}
		// The trainer waits twice as long as its results may take.
		long endMs = this.recorder.nowMs() + 2 * STEP_DEADLINE_MS;
		int results = 0;
		while (this.recorder.nowMs() < endMs && results < ITEMS) {
			Map<String, String> states = readJob(this.deployment.frontAddresses().get(0), job);
			results = (states != null) ? states.size() : results;
			Worker.sleep(400);
		}
		long idleMs = this.recorder.nowMs() - this.lastRunMs;
		this.recorder.say("%d of %d results; %d runs began, the last one %d ms before the end", results, ITEMS,
				this.runs.get(), idleMs);
		return results < ITEMS && idleMs > 5_000;
	}

	/** Sends a heartbeat without the fields "version" and "coldRemainingMs". */
	private void sendForeign(Worker model) {
		String id = "i-" + newId().substring(0, 8);
		String body = String.format(Locale.ROOT,
				"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"slots\":8,\"state\":\"ready\",\"seq\":1,\"born\":%d}",
				LLM, model.address, System.currentTimeMillis());
		String control = this.deployment.controlAddresses().get(0);
		try {
			int status = Http
				.call(control, "POST", "/zinniatack/instances/" + id + "/heartbeat",
						Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1_000)
				.status();
			this.recorder.log("foreign heartbeat %s %s answered %d", id, body, status);
		}
		catch (IOException ex) {
			throw new NotRunException("a foreign heartbeat got no answer: " + ex.getMessage());
		}
	}

	/** A model worker that records the items that it runs. */
	private final class ModelWorker extends Worker {

		ModelWorker(String id) throws IOException {
			super(id, LLM, "127.0.0.1", 0, ForeignHeartbeat.this.deployment.controlAddresses(),
					ForeignHeartbeat.this.recorder);
		}

		@Override
		void run(OutputStream out, Http.Message request) throws IOException {
			this.recorder.log("item %s runs at %s", request.header("Request-Id"), this.id);
			ForeignHeartbeat.this.runs.incrementAndGet();
			ForeignHeartbeat.this.lastRunMs = this.recorder.nowMs();
			stream(out, request, 22, 310, 50);
		}

	}

}
