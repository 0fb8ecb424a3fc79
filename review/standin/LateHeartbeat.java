import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A worker deregisters, and a heartbeat that it sent before arrives some seconds later.
 * In between, all control processes are killed and are back within a second.
 */
final class LateHeartbeat extends Scenario {

	private static final long DRAIN_MS = 2_000;

	private static final long CONTACT_MS = 3_000;

	private static final int ITEMS = 48;

	private final ConcurrentLinkedQueue<String> runsAtLeaver = new ConcurrentLinkedQueue<>();

	private volatile long countedFromMs = Long.MAX_VALUE;

	private LateHeartbeat(String[] arguments) {
		super(arguments);
	}

	public static void main(String[] arguments) {
		new LateHeartbeat(arguments).runAndExit(2);
	}

	@Override
	boolean isRuleBroken() throws Exception {
		addWorker(new Worker("portal-1", PORTAL, "127.0.0.1", 0, this.deployment.controlAddresses(), this.recorder));
		for (int n = 1; n <= 2; n++) {
			addWorker(new ModelWorker("model-" + n));
		}
		Worker leaver = addWorker(new ModelWorker("model-leaver"));
		awaitService();
		runJob("before the worker leaves");
		if (this.recorder.nowMs() < 8_000) {
			Worker.sleep(8_000 - this.recorder.nowMs());
		}

		leaver.stopAnnouncing();
		Worker.sleep(1_200);
		String lateHeartbeat = leaver.heartbeatBody("ready");
		String acknowledger = this.deployment.controlAddresses().get(0);
		String farewell = "{\"seq\":%d,\"born\":%d}".formatted(leaver.sequence.incrementAndGet(), leaver.bornMs);
		int status = leaver.send(acknowledger, "deregister", farewell);
		long acknowledgedMs = this.recorder.nowMs();
		this.recorder.log("%s deregistered at %s: %d", leaver.id, acknowledger, status);
		if (status != 200) {
			throw new NotRunException("the deregistration was answered with " + status);
		}
		Worker.sleep(300);
		if (this.trouble) {
			this.deployment.kill(this.deployment.controlNames());
			Worker.sleep(300);
			for (String name : this.deployment.controlNames()) {
				this.deployment.start(name, false);
			}
		}
		long restartedMs = this.recorder.nowMs();
		sendLate(leaver, lateHeartbeat, acknowledgedMs + 3_000);
		// Items are counted once the core was stable for contactMs and drainMs is over.
		this.countedFromMs = Math.max(acknowledgedMs + DRAIN_MS, restartedMs + CONTACT_MS + 500);
		Worker.sleep(this.countedFromMs - this.recorder.nowMs());
		runJob("after the worker left");
		this.recorder.say("%d items ran at %s later than %d ms after its deregistration was acknowledged",
				this.runsAtLeaver.size(), leaver.id, this.countedFromMs - acknowledgedMs);
		return !this.runsAtLeaver.isEmpty();
	}

	/** Delivers a heartbeat that was under way since before the deregistration. */
	private void sendLate(Worker leaver, String heartbeat, long atMs) {
		Worker.sleep(atMs - this.recorder.nowMs());
		for (int turn = 0; turn < 10; turn++) {
			String address = this.deployment.controlAddresses().get(turn % 3);
			int status = leaver.send(address, "heartbeat", heartbeat);
			this.recorder.log("the late heartbeat of %s reached %s: %d", leaver.id, address, status);
			if (status == 200) {
				return;
			}
			Worker.sleep(100);
		}
		throw new NotRunException("no control process took the late heartbeat");
	}

	private void runJob(String when) {
		List<String> items = new ArrayList<>();
		for (int n = 0; n < ITEMS; n++) {
			items.add(newId());
		}
		String job = newId();
		int status = submitJob(job, jobBody(items, 600), 10_000);
		if (status != 202) {
			throw new NotRunException("a job " + when + " was answered with " + status);
		}
		long endMs = this.recorder.nowMs() + 15_000;
		while (this.recorder.nowMs() < endMs) {
			Map<String, String> states = readJob(this.deployment.frontAddresses().get(0), job);
			if (states != null && states.size() == ITEMS) {
				return;
			}
			Worker.sleep(300);
		}
		throw new NotRunException("a job " + when + " was not finished");
	}

	/** A model worker that records the items that it runs. */
	private final class ModelWorker extends Worker {

		ModelWorker(String id) throws IOException {
			super(id, LLM, "127.0.0.1", 0, LateHeartbeat.this.deployment.controlAddresses(),
					LateHeartbeat.this.recorder);
		}

		@Override
		void run(OutputStream out, Http.Message request) throws IOException {
			String item = request.header("Request-Id");
			this.recorder.log("item %s runs at %s", item, this.id);
			if (this.id.equals("model-leaver")
					&& this.recorder.nowMs() >= LateHeartbeat.this.countedFromMs) {
				LateHeartbeat.this.runsAtLeaver.add(item);
			}
			stream(out, request, 5, 300, 20);
		}

	}

}
