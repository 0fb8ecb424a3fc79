import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A change of the configuration adds a public route for batch jobs. A client submits a
 * job there, reads it and ends it, each time with its key.
 */
final class OpenJobRoute extends Scenario {

	private static final int ITEMS = 64;

	private static final long SETTLE_MS = 1_000;

	private static final long CONFIG_APPLY_MS = 2_000;

	private final AtomicInteger runs = new AtomicInteger();

	private OpenJobRoute(String[] arguments) {
		super(arguments);
	}

	public static void main(String[] arguments) {
		new OpenJobRoute(arguments).runAndExit(2);
	}

	@Override
	boolean isRuleBroken() throws Exception {
		addWorker(new Worker("portal-1", PORTAL, "127.0.0.1", 0, this.deployment.controlAddresses(), this.recorder));
		addWorker(new ModelWorker("model-1"));
		addWorker(new ModelWorker("model-2"));
		awaitService();
		addRoute("""
				{"name":"r-open","host":"%s","pathPrefix":"/open/","kind":"rollout","timeoutMs":10000,"targetLatencyMs":400,"priority":0,"service":"%s","maxAttempts":3,"public":%b,"resultDeadlineMs":7500,"queueTtlS":40,"resumable":true,"sticky":true}"""
			.formatted(HOST, LLM, this.trouble));
		Worker.sleep(CONFIG_APPLY_MS + 3_000);
		List<String> items = new ArrayList<>();
		for (int n = 0; n < ITEMS; n++) {
			items.add(newId());
		}
		String job = newId();
		String front = this.deployment.frontAddresses().get(0);
		int status = attempt(front, "/open/" + job, job, jobBody(items, 600).replace("/job/run", "/open/run"), 3_000);
		if (status != 202) {
			throw new NotRunException("the job was answered with " + status);
		}
		Worker.sleep(SETTLE_MS + 500);
		int unreadable = 0;
		for (int n = 0; n < 20; n++) {
			unreadable += (readJob(this.deployment.frontAddresses().get(n % 2), job) == null) ? 1 : 0;
			Worker.sleep(500);
		}
		this.recorder.say("the job was accepted, %d of its items ran, and %d of 20 reads found no job", this.runs.get(),
				unreadable);
		return unreadable == 20;
	}

	/** A model worker that counts the items that it runs. */
	private final class ModelWorker extends Worker {

		ModelWorker(String id) throws IOException {
			super(id, LLM, "127.0.0.1", 0, OpenJobRoute.this.deployment.controlAddresses(),
					OpenJobRoute.this.recorder);
		}

		@Override
		void run(OutputStream out, Http.Message request) throws IOException {
			this.recorder.log("item %s runs at %s, tenant \"%s\"", request.header("Request-Id"), this.id,
					request.header("Tenant"));
			OpenJobRoute.this.runs.incrementAndGet();
			stream(out, request, 22, 310, 20);
		}

	}

}
