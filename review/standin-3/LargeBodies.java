import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Some clients send large bodies to a front at the same time, each within the limit of
 * the configuration, beside clients that send small ones on kept connections.
 */
final class LargeBodies {

	private static final int MIB = 1024 * 1024;

	private static final int BODY_BYTES = 24 * MIB;

	private static final int LARGE_CLIENTS = 5;

	private static final int SMALL_CLIENTS = 16;

	private static final int TIMEOUT_MS = 2_000;

	private static final int GRACE_MS = 500;

	private static final int DEADLINE_MS = 6_000;

	private static volatile boolean over;

	private LargeBodies() {
	}

	public static void main(String[] arguments) {
		Cases.exit(() -> run(Path.of(arguments[0])));
	}

	private static int run(Path recordFile) throws Exception {
		List<Long> tookMs = Collections.synchronizedList(new ArrayList<>());
		try (Rig rig = new Rig(recordFile)) {
			rig.start(2, Rig.smallBounds());
			for (int i = 1; i <= 3; i++) {
				new Worker(rig, "127.0.3." + i, "w-" + i, "app", 12, "",
						(request) -> Worker.Plan.answer("desk 1: Ada", 60).quietly());
			}
			Steps.configure(rig, 3);
			rig.awaitReady();
			Thread.sleep(4_000);
			List<Thread> small = new ArrayList<>();
			for (int i = 0; i < SMALL_CLIENTS; i++) {
				int client = i;
				small.add(started(() -> sendSmall(rig, client, tookMs)));
			}
			Thread.sleep(2_000);
			rig.note("%d small requests answered before, the slowest in %d ms", tookMs.size(),
					tookMs.stream().mapToLong(Long::longValue).max().orElse(0));
			String body = "x".repeat(BODY_BYTES);
			List<Thread> large = new ArrayList<>();
			for (int i = 0; i < LARGE_CLIENTS; i++) {
				String id = "large-" + i;
				Thread thread = started(() -> rig.client(1, "POST", "/view/photo", id, body, DEADLINE_MS));
				large.add(thread);
				if (!Cases.trouble()) {
					thread.join();
				}
			}
			for (Thread thread : large) {
				thread.join();
			}
			Thread.sleep(2_000);
			over = true;
			for (Thread thread : small) {
				thread.join(DEADLINE_MS + 1_000);
			}
			long lasting = tookMs.stream().filter((took) -> took > TIMEOUT_MS).count();
			long unanswered = tookMs.stream().filter((took) -> took > TIMEOUT_MS + GRACE_MS).count();
			rig.note("%d small requests, %d lasted longer than timeoutMs, %d of these had no answer %d ms later",
					tookMs.size(), lasting, unanswered, GRACE_MS);
			return (unanswered >= 8 && 4 * unanswered > lasting) ? Cases.BROKEN : Cases.HELD;
		}
	}

	private static Thread started(Runnable task) {
		Thread thread = new Thread(task);
		thread.start();
		return thread;
	}

	/** Sends one small request after the other on a kept connection. */
	private static void sendSmall(Rig rig, int client, List<Long> tookMs) {
		String address = rig.front(1);
		int colon = address.lastIndexOf(':');
		int number = 0;
		while (!over) {
			try (Socket socket = new Socket(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1)))) {
				socket.setSoTimeout(DEADLINE_MS);
				InputStream input = new BufferedInputStream(socket.getInputStream());
				boolean open = true;
				while (open && !over) {
					String id = "small-" + client + '-' + number++;
					long sentMs = rig.nowMs();
					open = exchange(rig, socket, input, id);
					long took = rig.nowMs() - sentMs;
					tookMs.add(took);
					if (took > TIMEOUT_MS + GRACE_MS) {
						rig.note("client: %s, sent at %.3f s, had no answer for %d ms", id, sentMs / 1_000.0, took);
					}
					Thread.sleep(100);
				}
			}
			catch (IOException | InterruptedException ex) {
				rig.note("client %d: %s", client, ex);
			}
		}
	}

	private static boolean exchange(Rig rig, Socket socket, InputStream input, String id) throws IOException {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", Rig.HOST);
		headers.put("Key", Rig.KEY);
		headers.put("Request-Id", id);
		headers.put("Deadline-Ms", String.valueOf(DEADLINE_MS));
		try {
			Http.write(socket, "POST", "/view/desk", headers, "{}".getBytes(StandardCharsets.UTF_8));
			String status = Http.line(input);
			if (status == null) {
				return false;
			}
			Map<String, String> answer = Http.headers(input);
			Http.body(input, answer);
			return !"close".equalsIgnoreCase(answer.get("connection"));
		}
		catch (IOException ex) {
			return false;
		}
	}

}
