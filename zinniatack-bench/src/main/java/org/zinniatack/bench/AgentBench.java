package org.zinniatack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;

/**
 * Measures idle agents that report to different numbers of simulated entries and poll
 * their targets at different intervals.
 */
@CommandLine.Command(name = "agents", description = "Measures idle agents with different numbers of entries.")
final class AgentBench implements Callable<Integer> {

	private static final long SETTLE_MS = 6_000;

	private static final long MEASURE_MS = 30_000;

	private static final double MS_PER_S = 1_000;

	@CommandLine.Option(names = "--secret", required = true, description = "the cluster secret")
	private String secret;

	@CommandLine.Option(names = "--first-port", required = true, description = "the port of the first entry")
	private int firstPort;

	@CommandLine.Option(names = "--entries", required = true, split = ",",
			description = "the number of entries of each agent")
	private List<Integer> entryCounts;

	@CommandLine.Option(names = "--pids", required = true, split = ",", description = "process ids of the agents")
	private List<Long> pids;

	@CommandLine.Option(names = "--intervals-ms", required = true, split = ",",
			description = "the time between two reports of each agent")
	private List<Long> intervalsMs;

	@Override
	public Integer call() throws Exception {
		List<PeerNetwork> entries = new ArrayList<>();
		int maximumEntryCount = this.entryCounts.stream().mapToInt(Integer::intValue).max().orElse(0);
		for (int number = 0; number < maximumEntryCount; number++) {
			PeerNetwork entry = new PeerNetwork(new PeerIdentity("entry", "entry-" + number),
					ClusterSecret.of(this.secret), new PeerHandler() {
					}, 1);
			entry.listen("127.0.0.1:" + (this.firstPort + number));
			entries.add(entry);
		}
		Thread.sleep(SETTLE_MS);
		measure();
		entries.parallelStream().forEach(PeerNetwork::stop);
		return 0;
	}

	private void measure() throws Exception {
		List<ProcessMeter> meters = this.pids.stream().map(ProcessMeter::new).toList();
		for (ProcessMeter meter : meters) {
			meter.start();
		}
		Thread.sleep(MEASURE_MS);
		Table table = new Table("entries", "looks at the target a second", "reports a second", "processor, % of a core",
				"resident, MB");
		List<double[]> pointsByPollRate = new ArrayList<>();
		List<double[]> pointsByReportRate = new ArrayList<>();
		for (int number = 0; number < meters.size(); number++) {
			double pollsPerS = MS_PER_S / this.intervalsMs.get(number);
			double reportsPerS = this.entryCounts.get(number) * pollsPerS;
			double percent = meters.get(number).processorPercent();
			pointsByPollRate.add(new double[] { pollsPerS, percent });
			pointsByReportRate.add(new double[] { reportsPerS, percent });
			table.row(this.entryCounts.get(number), pollsPerS, reportsPerS, percent, meters.get(number).residentMb());
		}
		System.out.println("### Idle agents\n");
		table.print();
		boolean isSameInterval = this.intervalsMs.stream().distinct().count() == 1;
		LinearFit fit = LinearFit.of(isSameInterval ? pointsByReportRate : pointsByPollRate);
		System.out.printf("processor %%: %.4f + %.5f a %s (r %.3f)%n%n", fit.intercept(), fit.slope(),
				isSameInterval ? "report/s" : "look/s with its reports", fit.correlation());
	}

}
