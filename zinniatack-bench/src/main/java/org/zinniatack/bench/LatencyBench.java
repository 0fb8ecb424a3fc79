package org.zinniatack.bench;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import picocli.CommandLine;

import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;
import org.zinniatack.wire.Responder;

/**
 * Measures the latency that an entry and an agent add to a call. Sends the same calls at
 * a fixed rate alternately to the entry and directly to its target.
 */
@CommandLine.Command(name = "latency", description = "Measures the latency that entry and agent add to a call.")
final class LatencyBench implements Callable<Integer> {

	private static final String BODY = "{\"model\":\"draft\",\"prompt\":\"latency\",\"max_tokens\":1,\"stream\":true}";

	private static final int ROUNDS = 3;

	private static final long TIMEOUT_MS = 5_000;

	@CommandLine.Option(names = "--entry", required = true, description = "the URL of an entry")
	private URI entry;

	@CommandLine.Option(names = "--target", required = true, description = "the URL of the target of the entry")
	private URI target;

	@CommandLine.Option(names = "--key", required = true, description = "a caller's key")
	private String key;

	@CommandLine.Option(names = "--rate", defaultValue = "500", description = "calls a second")
	private int rate;

	@CommandLine.Option(names = "--seconds", defaultValue = "6", description = "the duration of a round, in seconds")
	private int seconds;

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	@Override
	public Integer call() throws Exception {
		Histogram direct = new SynchronizedHistogram(3);
		Histogram viaEntry = new SynchronizedHistogram(3);
		AtomicInteger failed = new AtomicInteger();
		measureRound(this.target, new SynchronizedHistogram(3), failed);
		measureRound(this.entry, new SynchronizedHistogram(3), failed);
		for (int number = 0; number < ROUNDS; number++) {
			measureRound(this.target, direct, failed);
			measureRound(this.entry, viaEntry, failed);
		}
		Table table = new Table("way", "calls", "p50, us", "p99, us");
		table.row("direct", direct.getTotalCount(), direct.getValueAtPercentile(50), direct.getValueAtPercentile(99));
		table.row("through entry and agent", viaEntry.getTotalCount(), viaEntry.getValueAtPercentile(50),
				viaEntry.getValueAtPercentile(99));
		table.row("added", "", viaEntry.getValueAtPercentile(50) - direct.getValueAtPercentile(50),
				viaEntry.getValueAtPercentile(99) - direct.getValueAtPercentile(99));
		Histogram roundTrips = measureRoundTrips();
		table.row("one round trip of an empty frame", roundTrips.getTotalCount(), roundTrips.getValueAtPercentile(50),
				roundTrips.getValueAtPercentile(99));
		table.print();
		System.out.println("failed calls: " + failed.get());
		return 0;
	}

	/**
	 * Returns the latency of empty frames between two connected peers at the rate of the
	 * calls, in microseconds. The first half of the round trips is a warm-up.
	 */
	private Histogram measureRoundTrips() throws Exception {
		PeerHandler echo = new PeerHandler() {
			@Override
			public void onRequest(Peer peer, Message message, Responder responder) {
				responder.respond(new Message.Heartbeat(), true);
			}
		};
		ClusterSecret secret = ClusterSecret.of("a secret of the bench");
		PeerNetwork server = new PeerNetwork(new PeerIdentity("entry", "server"), secret, echo, 1);
		PeerNetwork client = new PeerNetwork(new PeerIdentity("entry", "client"), secret, echo, 1);
		Peer peer = client.connect("127.0.0.1:" + server.listen("127.0.0.1:0")).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		Histogram latency = new Histogram(3);
		for (int number = 0; number < 2 * this.rate * this.seconds; number++) {
			LockSupport.parkNanos(1_000_000_000L / this.rate);
			long startedNs = System.nanoTime();
			peer.call(new Message.Heartbeat(), TIMEOUT_MS).get();
			if (number >= this.rate * this.seconds) {
				latency.recordValue((System.nanoTime() - startedNs) / 1000);
			}
		}
		client.stop();
		server.stop();
		return latency;
	}

	private void measureRound(URI url, Histogram latency, AtomicInteger failed) throws InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(url.resolve("/v1/completions"))
			.header("Content-Type", "application/json")
			.header("Authorization", "Bearer " + this.key)
			.POST(HttpRequest.BodyPublishers.ofString(BODY))
			.build();
		long intervalNs = 1_000_000_000L / this.rate;
		long startedNs = System.nanoTime();
		AtomicInteger running = new AtomicInteger();
		for (int number = 0; number < this.rate * this.seconds; number++) {
			long dueNs = startedNs + number * intervalNs;
			while (System.nanoTime() < dueNs) {
				LockSupport.parkNanos(dueNs - System.nanoTime());
			}
			running.incrementAndGet();
			this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((response, failure) -> {
				running.decrementAndGet();
				if (failure != null || response.statusCode() != 200 || !response.body().contains("[DONE]")) {
					failed.incrementAndGet();
				}
				else {
					latency.recordValue((System.nanoTime() - dueNs) / 1000);
				}
			});
		}
		while (running.get() > 0) {
			Thread.sleep(5);
		}
	}

}
