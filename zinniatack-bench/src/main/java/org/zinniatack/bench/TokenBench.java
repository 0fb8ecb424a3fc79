package org.zinniatack.bench;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import picocli.CommandLine;

/**
 * Sends streams at several rates through an entry and measures what a token costs the
 * entry and the agent.
 */
@CommandLine.Command(name = "tokens", description = "Measures the processor time of a token.")
final class TokenBench implements Callable<Integer> {

	private static final int TOKENS_A_CALL = 200;

	private static final int[] CALLS_A_S = { 0, 5, 10, 20, 30 };

	private static final long MEASURE_MS = 8_000;

	private static final double US_A_PERCENT_S = 10_000;

	@CommandLine.Option(names = "--entry", required = true, description = "the URL of an entry")
	private URI entry;

	@CommandLine.Option(names = "--key", required = true, description = "a caller's key")
	private String key;

	@CommandLine.Option(names = "--entry-pid", required = true, description = "the process id of the entry")
	private long entryPid;

	@CommandLine.Option(names = "--agent-pid", required = true, description = "the process id of the agent")
	private long agentPid;

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	@Override
	public Integer call() throws Exception {
		round(CALLS_A_S[CALLS_A_S.length - 1], new Table("warm-up"), new ArrayList<>(), new ArrayList<>());
		Table table = new Table("calls a second", "tokens a second", "entry, % of a core", "agent, % of a core");
		List<double[]> ofEntry = new ArrayList<>();
		List<double[]> ofAgent = new ArrayList<>();
		for (int callsPerS : CALLS_A_S) {
			round(callsPerS, table, ofEntry, ofAgent);
		}
		System.out.println("### Streams of " + TOKENS_A_CALL + " tokens\n");
		table.print();
		print("entry", Fit.of(ofEntry));
		print("agent", Fit.of(ofAgent));
		return 0;
	}

	private static void print(String role, Fit fit) {
		System.out.printf("%s: %.2f%% + %.2f us a token (r %.3f)%n", role, fit.intercept(),
				fit.slope() * US_A_PERCENT_S, fit.correlation());
	}

	private void round(int callsPerS, Table table, List<double[]> ofEntry, List<double[]> ofAgent) throws Exception {
		ProcessMeter entryMeter = new ProcessMeter(this.entryPid);
		ProcessMeter agentMeter = new ProcessMeter(this.agentPid);
		entryMeter.start();
		agentMeter.start();
		long beganNs = System.nanoTime();
		int calls = send(callsPerS);
		double elapsedS = (System.nanoTime() - beganNs) / 1e9;
		double tokensPerS = calls * TOKENS_A_CALL / elapsedS;
		double entryPercent = entryMeter.processorPercent();
		double agentPercent = agentMeter.processorPercent();
		ofEntry.add(new double[] { tokensPerS, entryPercent });
		ofAgent.add(new double[] { tokensPerS, agentPercent });
		table.row(calls / elapsedS, tokensPerS, entryPercent, agentPercent);
	}

	/** Sends calls for the time of a round and returns how many were answered whole. */
	private int send(int callsPerS) throws InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(this.entry.resolve("/v1/completions"))
			.header("Content-Type", "application/json")
			.header("Authorization", "Bearer " + this.key)
			.POST(HttpRequest.BodyPublishers.ofString(
					"{\"model\":\"draft\",\"prompt\":\"tokens\",\"max_tokens\":" + TOKENS_A_CALL + ",\"stream\":true}"))
			.build();
		AtomicInteger running = new AtomicInteger();
		AtomicInteger whole = new AtomicInteger();
		long intervalNs = (callsPerS == 0) ? MEASURE_MS * 1_000_000 : 1_000_000_000L / callsPerS;
		long beganNs = System.nanoTime();
		for (long dueNs = intervalNs; dueNs <= MEASURE_MS * 1_000_000; dueNs += intervalNs) {
			while (System.nanoTime() - beganNs < dueNs) {
				LockSupport.parkNanos(dueNs - (System.nanoTime() - beganNs));
			}
			if (callsPerS > 0) {
				running.incrementAndGet();
				this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((answer, failure) -> {
					running.decrementAndGet();
					if (failure == null && answer.statusCode() == 200 && answer.body().contains("[DONE]")) {
						whole.incrementAndGet();
					}
				});
			}
		}
		while (running.get() > 0) {
			Thread.sleep(5);
		}
		return whole.get();
	}

}
