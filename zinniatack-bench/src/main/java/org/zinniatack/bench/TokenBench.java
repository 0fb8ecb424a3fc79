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
 * Measures the processor time that an entry and an agent spend on a streamed token, from
 * streams at several rates.
 */
@CommandLine.Command(name = "tokens", description = "Measures the processor time per streamed token.")
final class TokenBench implements Callable<Integer> {

	private static final int TOKENS_PER_CALL = 200;

	private static final int[] CALL_RATES_PER_S = { 0, 5, 10, 20, 30 };

	private static final long MEASURE_MS = 8_000;

	/** 1% of a core is 10,000 us of processor time per second. */
	private static final double US_PER_S_PER_PERCENT = 10_000;

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
		measureRound(CALL_RATES_PER_S[CALL_RATES_PER_S.length - 1], new Table("warm-up"), new ArrayList<>(),
				new ArrayList<>());
		Table table = new Table("calls a second", "tokens a second", "entry, % of a core", "agent, % of a core");
		List<double[]> entryPoints = new ArrayList<>();
		List<double[]> agentPoints = new ArrayList<>();
		for (int callsPerS : CALL_RATES_PER_S) {
			measureRound(callsPerS, table, entryPoints, agentPoints);
		}
		System.out.println("### Streams of " + TOKENS_PER_CALL + " tokens\n");
		table.print();
		printFit("entry", LinearFit.of(entryPoints));
		printFit("agent", LinearFit.of(agentPoints));
		return 0;
	}

	private static void printFit(String role, LinearFit fit) {
		System.out.printf("%s: %.2f%% + %.2f us a token (r %.3f)%n", role, fit.intercept(),
				fit.slope() * US_PER_S_PER_PERCENT, fit.correlation());
	}

	private void measureRound(int callsPerS, Table table, List<double[]> entryPoints, List<double[]> agentPoints)
			throws Exception {
		ProcessMeter entryMeter = new ProcessMeter(this.entryPid);
		ProcessMeter agentMeter = new ProcessMeter(this.agentPid);
		entryMeter.start();
		agentMeter.start();
		long startedNs = System.nanoTime();
		int calls = sendCalls(callsPerS);
		double elapsedS = (System.nanoTime() - startedNs) / 1e9;
		double tokensPerS = calls * TOKENS_PER_CALL / elapsedS;
		double entryPercent = entryMeter.processorPercent();
		double agentPercent = agentMeter.processorPercent();
		entryPoints.add(new double[] { tokensPerS, entryPercent });
		agentPoints.add(new double[] { tokensPerS, agentPercent });
		table.row(calls / elapsedS, tokensPerS, entryPercent, agentPercent);
	}

	/**
	 * Sends calls at a rate for the duration of a round and returns how many streams
	 * arrived completely.
	 */
	private int sendCalls(int callsPerS) throws InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(this.entry.resolve("/v1/completions"))
			.header("Content-Type", "application/json")
			.header("Authorization", "Bearer " + this.key)
			.POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"draft\",\"prompt\":\"tokens\",\"max_tokens\":"
					+ TOKENS_PER_CALL + ",\"stream\":true}"))
			.build();
		AtomicInteger running = new AtomicInteger();
		AtomicInteger completed = new AtomicInteger();
		long intervalNs = (callsPerS == 0) ? MEASURE_MS * 1_000_000 : 1_000_000_000L / callsPerS;
		long startedNs = System.nanoTime();
		for (long dueNs = intervalNs; dueNs <= MEASURE_MS * 1_000_000; dueNs += intervalNs) {
			while (System.nanoTime() - startedNs < dueNs) {
				LockSupport.parkNanos(dueNs - (System.nanoTime() - startedNs));
			}
			if (callsPerS > 0) {
				running.incrementAndGet();
				this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((response, failure) -> {
					running.decrementAndGet();
					if (failure == null && response.statusCode() == 200 && response.body().contains("[DONE]")) {
						completed.incrementAndGet();
					}
				});
			}
		}
		while (running.get() > 0) {
			Thread.sleep(5);
		}
		return completed.get();
	}

}
