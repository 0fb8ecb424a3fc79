import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each worker that begins to run it, and comes again with the same
 * path, caller and body.
 */
final class CrashingRequest extends Scenario {

	private static final int WORKERS = 6;

	private static final long CONTACT_MS = 3_000;

	private static final long RESTART_MS = 3_000;

	private static final int ALLOWED_RETRIES = 3;

	private static final int RETRIES = 16;

	private static final int OTHER_CLIENTS = 6;

	private static final long WORK_MS = 150;

	private final AtomicInteger others = new AtomicInteger();

	private final AtomicInteger failedOthers = new AtomicInteger();

	private final AtomicInteger crashes = new AtomicInteger();

	private final AtomicInteger incarnations = new AtomicInteger();

	private final AtomicInteger lateRuns = new AtomicInteger();

	private volatile long thirdCrashMs = Long.MAX_VALUE;

	private final java.util.Set<String> lateRetries = java.util.concurrent.ConcurrentHashMap.newKeySet();

	private CrashingRequest(String[] arguments) {
		super(arguments);
	}

	public static void main(String[] arguments) {
		new CrashingRequest(arguments).runAndExit(2);
	}

	@Override
	boolean isRuleBroken() throws Exception {
		for (int n = 1; n <= WORKERS; n++) {
			addWorker(new PortalWorker(0));
		}
		awaitService();
		Worker.sleep(3_000);
		for (int n = 0; n < OTHER_CLIENTS; n++) {
			String front = this.deployment.frontAddresses().get(n % 2);
			Worker.thread(() -> sendOthers(front));
		}
		int sent = 0;
		long endMs = this.recorder.nowMs() + 60_000;
		while (this.recorder.nowMs() < endMs && sent < RETRIES + 3) {
			String front = this.deployment.frontAddresses().get(sent % 2);
			attempt(front, "/call/poison", newId(), "the same body", 1_500);
			sent++;
			Worker.sleep(1_500);
		}
		this.recorder.say(
				"the request was sent %d times; %d workers crashed; %d retries reached %d workers later than contactMs after the third crash",
				sent, this.crashes.get(), this.lateRetries.size(), this.lateRuns.get());
		this.recorder.say("of %d requests of other clients %d were not answered with success", this.others.get(),
				this.failedOthers.get());
		return this.lateRetries.size() > ALLOWED_RETRIES;
	}

	/** Sends requests that crash no worker, one after the other. */
	private void sendOthers(String front) {
		while (true) {
			int status = attempt(front, "/call/other", newId(), "", 1_500);
			this.others.incrementAndGet();
			this.failedOthers.addAndGet((status == 200) ? 0 : 1);
			Worker.sleep(100);
		}
	}

	private void onPoison(PortalWorker worker, Http.Message request) throws IOException {
		if (this.recorder.nowMs() > this.thirdCrashMs + CONTACT_MS) {
			this.lateRuns.incrementAndGet();
			this.lateRetries.add(request.header("Request-Id"));
		}
		if (this.crashes.incrementAndGet() == 3) {
			this.thirdCrashMs = this.recorder.nowMs();
		}
		this.recorder.log("%s crashes while it runs %s", worker.id, request.header("Request-Id"));
		worker.close();
		Worker.thread(() -> {
			Worker.sleep(RESTART_MS);
			try {
				addWorker(new PortalWorker(worker.port()));
			}
			catch (IOException ex) {
				this.recorder.log("a worker did not come back: %s", ex.getMessage());
			}
		});
	}

	/** A worker of the plain service that a certain request crashes. */
	private final class PortalWorker extends Worker {

		private final AtomicBoolean crashed = new AtomicBoolean();

		PortalWorker(int port) throws IOException {
			super("portal-" + CrashingRequest.this.incarnations.incrementAndGet(), PORTAL, "127.0.0.1", port,
					CrashingRequest.this.deployment.controlAddresses(), CrashingRequest.this.recorder);
		}

		@Override
		void run(OutputStream out, Http.Message request) throws IOException {
			if (CrashingRequest.this.trouble && request.path().equals("/call/poison")) {
				if (this.crashed.compareAndSet(false, true)) {
					onPoison(this, request);
				}
				return;
			}
			sleep(WORK_MS);
			super.run(out, request);
		}

	}

}
