package org.zinniatack.bench;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import picocli.CommandLine;

import org.zinniatack.core.membership.MemberChange;
import org.zinniatack.core.state.Command;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;

/**
 * Measures the leader of a replica group, idle and under usage reports. Each run appends
 * its results to a file; once the file holds four runs, the results and their linear fits
 * are printed.
 */
@CommandLine.Command(name = "replicas", description = "Measures the leader with different numbers of replicas.")
final class ReplicaBench implements Callable<Integer> {

	private static final long MEASURE_MS = 10_000;

	private static final long COMMITS_PER_S = 100;

	private static final int FIGURES_PER_REPORT = 20;

	private static final int MINIMUM_POINTS_FOR_FIT = 4;

	@CommandLine.Option(names = "--secret", required = true, description = "the cluster secret")
	private String secret;

	@CommandLine.Option(names = "--wire", required = true, split = ",", description = "the replicas' addresses")
	private List<String> wireAddresses;

	@CommandLine.Option(names = "--http", required = true, description = "the URL of a replica")
	private URI http;

	@CommandLine.Option(names = "--operator-key", required = true, description = "an operator's key")
	private String operatorKey;

	@CommandLine.Option(names = "--pids", required = true, split = ",", description = "the replicas' process ids")
	private List<Long> pids;

	@CommandLine.Option(names = "--points", required = true, description = "the file to which the results are appended")
	private Path points;

	@Override
	public Integer call() throws Exception {
		int leader = leaderIndex();
		Measurement idle = measure(leader, 0);
		Measurement loaded = measure(leader, COMMITS_PER_S);
		double[] row = { this.pids.size(), idle.processorPercent(), idle.kilobytesPerS(),
				(loaded.processorPercent() - idle.processorPercent()) / loaded.reportsPerS(),
				(loaded.kilobytesPerS() - idle.kilobytesPerS()) / loaded.reportsPerS() };
		Files.writeString(this.points, String.join(" ", Arrays.stream(row).mapToObj(String::valueOf).toList()) + "\n",
				StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		List<double[]> rows = new ArrayList<>();
		for (String line : Files.readAllLines(this.points)) {
			rows.add(Arrays.stream(line.split(" ")).mapToDouble(Double::parseDouble).toArray());
		}
		if (rows.size() >= MINIMUM_POINTS_FOR_FIT) {
			printFits(rows);
		}
		return 0;
	}

	private int leaderIndex() throws Exception {
		HttpRequest request = HttpRequest.newBuilder(this.http.resolve("/v1/status"))
			.header("Authorization", "Bearer " + this.operatorKey)
			.build();
		String body = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
		String leader = MemberChange.nameOf(new ObjectMapper().readTree(body).path("leader").asText());
		return Integer.parseInt(leader.substring(leader.indexOf('-') + 1)) - 1;
	}

	private Measurement measure(int leader, long commitsPerS) throws Exception {
		PeerNetwork network = new PeerNetwork(new PeerIdentity("entry", "bench"), ClusterSecret.of(this.secret),
				new PeerHandler() {
				}, 1);
		Peer peer = network.connect(this.wireAddresses.get(leader)).get(5, TimeUnit.SECONDS);
		String source = UUID.randomUUID().toString();
		ProcessMeter meter = new ProcessMeter(this.pids.get(leader));
		meter.start();
		long startedNs = System.nanoTime();
		long sequence = 0;
		while (System.nanoTime() - startedNs < TimeUnit.MILLISECONDS.toNanos(MEASURE_MS)) {
			Thread.sleep(1_000 / COMMITS_PER_S);
			if (commitsPerS > 0) {
				peer.call(new Message.Propose(new Command.RecordUsage(source, ++sequence, System.currentTimeMillis(),
						CapacityBench.figures(FIGURES_PER_REPORT)), false), MEASURE_MS);
			}
		}
		Measurement measurement = new Measurement(meter.processorPercent(), meter.loopbackKilobytesPerS(),
				sequence * 1_000.0 / MEASURE_MS);
		network.stop();
		return measurement;
	}

	private static void printFits(List<double[]> rows) {
		Table table = new Table("replicas", "leader idle, % of a core", "system idle, KB/s",
				"leader, ms of a core a report", "system, KB a report");
		rows.forEach((row) -> table.row((int) row[0], row[1], row[2], row[3] * 10, row[4]));
		System.out.println("### A leader by the number of replicas; reports of " + FIGURES_PER_REPORT + " figures\n");
		table.print();
		String[] names = { "", "leader idle, %", "system idle, KB/s", "leader, ms a report", "system, KB a report" };
		for (int column = 1; column < names.length; column++) {
			int fittedColumn = column;
			// 1% of a core is 10 ms of processor time per second.
			double scale = (column == 3) ? 10 : 1;
			LinearFit fit = LinearFit
				.of(rows.stream().map((row) -> new double[] { row[0] - 1, row[fittedColumn] * scale }).toList());
			System.out.printf("%s: %.4f + %.5f a follower (r %.3f)%n", names[column], fit.intercept(), fit.slope(),
					fit.correlation());
		}
		System.out.println();
	}

	/**
	 * Results of one measurement.
	 *
	 * @param processorPercent the processor use of the leader, in percent of a core
	 * @param kilobytesPerS the loopback traffic, in KB/s
	 * @param reportsPerS the usage reports sent per second
	 */
	private record Measurement(double processorPercent, double kilobytesPerS, double reportsPerS) {
	}

}
