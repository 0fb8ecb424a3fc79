package org.zinniatack.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jfree.data.xy.XYSeries;
import picocli.CommandLine;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.config.ConfigurationRecord;
import org.zinniatack.core.config.RecordKind;
import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.presence.TableChanges;
import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.VersionSpan;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;
import org.zinniatack.wire.StateCodec;

/**
 * Measures how resource use grows with the size of a system: message sizes, processor
 * time and memory in this process, and processor time, memory and traffic of running
 * processes with many idle peers. The figures are used for capacity planning.
 */
@CommandLine.Command(name = "capacity", description = "Measures how resource use grows with the size of a system.")
final class CapacityBench implements Callable<Integer> {

	private static final long SETTLE_MS = 3_000;

	private static final long MEASURE_MS = 8_000;

	private static final double NS_PER_US = 1_000;

	private static final int SAMPLE_TEXT_BYTES = 2048;

	private static final String INCARNATION = "0f8fad5b-d9cb-469f-a165-70867728950e";

	private static final int TARGETS_PER_ENTRY = 7;

	@CommandLine.Option(names = "--plots", defaultValue = "docs/plots", description = "the directory of the plots")
	private Path plots;

	@CommandLine.Option(names = "--secret", defaultValue = "", description = "the cluster secret of running processes")
	private String secret;

	@CommandLine.Option(names = "--entry", defaultValue = "",
			description = "the address where a running entry accepts agents")
	private String entry;

	@CommandLine.Option(names = "--entry-pid", defaultValue = "0", description = "the process id of the entry")
	private long entryPid;

	@CommandLine.Option(names = "--control", defaultValue = "",
			description = "the address where a running control process accepts entries")
	private String control;

	@CommandLine.Option(names = "--control-pid", defaultValue = "0",
			description = "the process id of the control process")
	private long controlPid;

	@CommandLine.Option(names = "--interval-ms", defaultValue = "500", description = "the time between two reports")
	private long intervalMs;

	/** Keeps the measured view reachable, so that it is not garbage collected. */
	private Object measuredView = "";

	@Override
	public Integer call() throws Exception {
		measureMessageSizes();
		measureRecords();
		measureSamples();
		measureRendezvous();
		if (!this.entry.isEmpty()) {
			measurePeers("agents of one entry", "agent", this.entry, this.entryPid, new int[] { 3, 30, 100, 200, 300 });
		}
		if (!this.control.isEmpty()) {
			measurePeers("entries of one control process", "entry", this.control, this.controlPid,
					new int[] { 3, 30, 60, 120, 200 });
		}
		return 0;
	}

	private void measureMessageSizes() throws IOException {
		Table table = new Table("message", "varies with", "at 3", "at 30", "at 100", "at 300", "bytes = a + b n", "r");
		addRow(table, "load report", "-", (n) -> new Message.Load(8, 9_000, false, true, 1, 12_345));
		addRow(table, "consensus heartbeat", "-",
				(n) -> new Message.Consensus(new ConsensusMessage.AppendRequest("control-1.0123456789ab",
						"control-2.0123456789ab", 7, 99_999, 7, List.of(), 99_999, 123_456_789)));
		addRow(table, "entry report", "changed targets", (n) -> createEntryReport("entry-1", n, 0));
		addRow(table, "presence report", "changed entries", (n) -> createPresenceReport(n, 0));
		addRow(table, "presence report", "changed targets", (n) -> createPresenceReport(0, n));
		addRow(table, "feed without changes", "entries", (n) -> createFeed(n, 0));
		addRow(table, "feed with changes", "changed records", (n) -> createFeed(3, n));
		addRow(table, "samples to control, 2 KiB each", "samples",
				(n) -> new Message.Propose(new Command.FillSlots("c", "s", createSamples(n)), false));
		addRow(table, "usage report to control", "customers and routes",
				(n) -> new Message.Propose(new Command.RecordUsage(INCARNATION, 12_345, 1_796_362_020_000L, figures(n)),
						false));
		addRow(table, "usage note to an agent", "-",
				(n) -> new Message.UsageNote(INCARNATION, 12_345, 1_796_362_020_000L, figures(1).get(0)));
		System.out.println("### Sizes of messages, in bytes with their frame\n");
		table.print();
	}

	private static void addRow(Table table, String name, String variable, MessageFactory factory) throws IOException {
		List<double[]> points = new ArrayList<>();
		List<Object> cells = new ArrayList<>(List.of(name, variable));
		for (int count : new int[] { 3, 30, 100, 300 }) {
			int bytes = StateCodec.frameSizeBytes(factory.create(count));
			points.add(new double[] { count, bytes });
			cells.add(bytes);
		}
		LinearFit fit = LinearFit.of(points);
		cells.add(String.format("%.0f + %.1f n", fit.intercept(), fit.slope()));
		cells.add(fit.correlation());
		table.row(cells.toArray());
	}

	private static TableChanges<Message.TargetState> createTargetChanges(String entry, int count) {
		Map<String, Message.TargetState> targets = new HashMap<>();
		for (int number = 0; number < count; number++) {
			String id = entry + "-target-" + number;
			targets.put(id, new Message.TargetState(id, "pool", "domain-1", 9_000, false, 12_345));
		}
		return new TableChanges<>(INCARNATION, false, 1, 2, targets, List.of());
	}

	private static Message.EntryReport createEntryReport(String name, int changedTargets, int rosterHash) {
		return new Message.EntryReport(name, "10.0.0.1:7400", 12_345, 3, rosterHash,
				List.of(new Message.PoolLoad("pool", 4, 20)), createTargetChanges(name, changedTargets));
	}

	private static Message createPresenceReport(int changedEntries, int changedTargets) {
		Map<String, Message.EntryState> entries = new HashMap<>();
		for (int number = 0; number < changedEntries; number++) {
			entries.put("entry-" + number,
					new Message.EntryState("entry-" + number, "10.0.0.1:7400", 12_345, TARGETS_PER_ENTRY, 12_345));
		}
		return new Message.PresenceReport("control-2.0123456789ab", 1, List.of(new Message.PoolLoad("pool", 4, 20)),
				new TableChanges<>(INCARNATION, false, 1, 2, entries, List.of()),
				createTargetChanges("entry-1", changedTargets));
	}

	private static Message createFeed(int entryCount, int changed) {
		Map<String, String> entries = new HashMap<>();
		for (int number = 0; number < entryCount; number++) {
			entries.put("entry-" + number, "10.0.0." + number + ":7400");
		}
		return new Message.Feed(12_345, 12_344, createKeyRecords(changed), 7, 20, Map.of("draft", 9_000L), 1, entries,
				3, List.of(), List.of(), Map.of(), new TableVersion(INCARNATION, 2));
	}

	private static List<ConfigurationRecord> createKeyRecords(int count) {
		List<ConfigurationRecord> records = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			records.add(new ConfigurationRecord(RecordKind.KEY, "key-" + number, 2, 10 + number, false,
					"{\"customer\":\"customer-1\",\"digestSha256\":\"" + Sha256Digest.of("k" + number).hex() + "\"}"));
		}
		return records;
	}

	/** Returns usage figures of a number of customers on one route. */
	static List<UsageFigure> figures(int count) {
		List<UsageFigure> figures = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			figures.add(new UsageFigure("customer-" + number, "draft", 1_000, 200_000, false));
		}
		return figures;
	}

	private static List<Sample> createSamples(int count) {
		List<Sample> samples = new ArrayList<>();
		for (int slot = 0; slot < count; slot++) {
			samples.add(new Sample(slot, "x".repeat(SAMPLE_TEXT_BYTES), "stop", List.of(new VersionSpan(9_000, 512))));
		}
		return samples;
	}

	private void measureRecords() throws Exception {
		Table table = new Table("key records", "state heap, KB", "entry view heap, KB", "view after one change, us",
				"changes for a feed, us", "apply of a change, us", "snapshot, KB", "snapshot, ms");
		XYSeries view = new XYSeries("entry view after one change");
		List<double[]> heapPoints = new ArrayList<>();
		List<double[]> viewPoints = new ArrayList<>();
		for (int count : new int[] { 1_000, 4_000, 16_000, 50_000 }) {
			long before = heapBytes();
			ControlState state = new ControlState();
			state.apply(1, new Command.PutRecord("r", RecordKind.CUSTOMER, "customer-1", 2, "{}", 0));
			long startedNs = System.nanoTime();
			for (ConfigurationRecord record : createKeyRecords(count)) {
				state.apply(record.revision(), new Command.PutRecord("r" + record.name(), record.kind(), record.name(),
						2, record.document(), 0));
			}
			double applyUs = (System.nanoTime() - startedNs) / NS_PER_US / count;
			long stateBytes = heapBytes() - before;
			before = heapBytes();
			Configuration configuration = Configuration.of(1, state.records().records());
			long viewBytes = heapBytes() - before;
			this.measuredView = configuration;
			double viewUs = measureViewUpdateUs(configuration);
			startedNs = System.nanoTime();
			byte[] snapshot = StateCodec.encode(state.image());
			double snapshotMs = (System.nanoTime() - startedNs) / 1e6;
			table.row(count, stateBytes / 1024, viewBytes / 1024, viewUs, measureChangeQueryUs(state), applyUs,
					snapshot.length / 1024, snapshotMs);
			view.add(count, viewUs);
			heapPoints.add(new double[] { count, stateBytes });
			viewPoints.add(new double[] { count, viewUs });
		}
		System.out.println("### State and cost by the number of records\n");
		table.print();
		System.out.printf("state: %.0f bytes a record (r %.4f); view after a change: %.4f us a record (r %.4f)%n%n",
				LinearFit.of(heapPoints).slope(), LinearFit.of(heapPoints).correlation(),
				LinearFit.of(viewPoints).slope(), LinearFit.of(viewPoints).correlation());
		Table.plot(this.plots.resolve("records.png"), "Entry: view after one change", "records", "us", List.of(view));
	}

	private static double measureViewUpdateUs(Configuration configuration) throws ServiceException {
		double best = Double.MAX_VALUE;
		List<ConfigurationRecord> changed = createKeyRecords(1);
		for (int round = 0; round < 20; round++) {
			long startedNs = System.nanoTime();
			configuration.withChanges(2, changed);
			best = Math.min(best, (System.nanoTime() - startedNs) / NS_PER_US);
		}
		return best;
	}

	private static double measureChangeQueryUs(ControlState state) {
		double best = Double.MAX_VALUE;
		for (int round = 0; round < 20; round++) {
			long startedNs = System.nanoTime();
			state.records().recordsAfter(state.records().revision());
			best = Math.min(best, (System.nanoTime() - startedNs) / NS_PER_US);
		}
		return best;
	}

	private static void measureSamples() throws IOException {
		Table table = new Table("samples of 2 KiB in steps", "heap, KB", "snapshot, KB");
		List<double[]> points = new ArrayList<>();
		List<ControlState> states = new ArrayList<>();
		for (int count : new int[] { 512, 512, 2_048, 4_096, 8_192, 16_384 }) {
			long before = heapBytes();
			ControlState state = new ControlState();
			state.apply(1, new Command.OpenStep("c", "s", "m", "d", count, 2));
			state.apply(2,
					StateCodec.decodeCommand(StateCodec.encode(new Command.FillSlots("c", "s", createSamples(count)))));
			states.add(state);
			long bytes = heapBytes() - before;
			if (states.size() > 1) {
				points.add(new double[] { count, bytes });
				table.row(count, bytes / 1024, StateCodec.encode(state.image()).length / 1024);
			}
		}
		System.out.println("### State by the number of samples held\n");
		table.print();
		System.out.printf("%.0f bytes a sample (r %.4f)%n%n", LinearFit.of(points).slope(),
				LinearFit.of(points).correlation());
	}

	private static void measureRendezvous() {
		Table table = new Table("entries", "choice of 16 entries for a target, us");
		for (int count : new int[] { 3, 30, 100, 420 }) {
			List<String> entries = new ArrayList<>();
			for (int number = 0; number < count; number++) {
				entries.add("entry-" + number);
			}
			double best = Double.MAX_VALUE;
			for (int round = 0; round < 200; round++) {
				long startedNs = System.nanoTime();
				Hashing.rendezvous("target-" + round, entries, 16);
				best = Math.min(best, (System.nanoTime() - startedNs) / NS_PER_US);
			}
			table.row(count, best);
		}
		System.out.println("### Choosing entries\n");
		table.print();
	}

	private static long heapBytes() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private void measurePeers(String title, String role, String address, long pid, int[] counts) throws Exception {
		Table table = new Table("peers", "processor, % of a core", "resident, MB", "loopback, KB/s",
				"joins, ms of a core");
		List<double[]> joins = new ArrayList<>();
		List<double[]> processor = new ArrayList<>();
		List<double[]> traffic = new ArrayList<>();
		List<double[]> memory = new ArrayList<>();
		for (int count : counts) {
			ProcessMeter joinMeter = new ProcessMeter(pid);
			joinMeter.start();
			long joinStartedNs = System.nanoTime();
			try (SimulatedPeers peers = new SimulatedPeers(role, address, count)) {
				Thread.sleep(SETTLE_MS);
				double joinMs = joinMeter.processorMs();
				double joinS = (System.nanoTime() - joinStartedNs) / 1e9;
				ProcessMeter meter = new ProcessMeter(pid);
				meter.start();
				Thread.sleep(MEASURE_MS);
				double percent = meter.processorPercent();
				double kilobytes = meter.loopbackKilobytesPerS();
				double resident = meter.residentMb();
				joinMs -= percent / 100 * joinS * 1_000;
				table.row(count, percent, resident, kilobytes, joinMs);
				joins.add(new double[] { count, joinMs });
				processor.add(new double[] { count, percent });
				traffic.add(new double[] { count, kilobytes });
				memory.add(new double[] { count, resident });
			}
		}
		System.out.println("### " + title + ", idle, a report every " + this.intervalMs + " ms\n");
		table.print();
		for (Map.Entry<String, List<double[]>> figure : Map
			.of("processor %", processor, "KB/s", traffic, "MB", memory, "ms of joining", joins)
			.entrySet()) {
			LinearFit fit = LinearFit.of(figure.getValue());
			System.out.printf("%s: %.4f + %.5f a peer (r %.3f)%n", figure.getKey(), fit.intercept(), fit.slope(),
					fit.correlation());
		}
		System.out.println();
	}

	/** Creates a message that contains a number of elements. */
	private interface MessageFactory {

		Message create(int count);

	}

	/** Connections that send the reports of idle agents or entries. */
	private final class SimulatedPeers implements AutoCloseable {

		private final List<PeerNetwork> networks = new ArrayList<>();

		private final List<Peer> peers = new ArrayList<>();

		private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

		private final Set<Peer> acknowledged = ConcurrentHashMap.newKeySet();

		private volatile int rosterHash;

		SimulatedPeers(String role, String address, int count) throws Exception {
			for (int number = 0; number < count; number++) {
				PeerNetwork network = new PeerNetwork(new PeerIdentity(role, "fake-" + role + "-" + number),
						ClusterSecret.of(CapacityBench.this.secret), new PeerHandler() {
							@Override
							public void onNotification(Peer peer, Message message) {
								if (message instanceof Message.Feed feed) {
									SimulatedPeers.this.rosterHash = feed.rosterHash();
									if (feed.knownTargets().number() == 2) {
										SimulatedPeers.this.acknowledged.add(peer);
									}
								}
							}
						}, 1);
				this.networks.add(network);
				Peer peer = network.connect(address).get(5, TimeUnit.SECONDS);
				this.peers.add(peer);
				if (role.equals("agent")) {
					peer.send(new Message.Announce("fake-" + number, "i" + number, "pool", "domain-1", 8));
				}
			}
			this.timer.scheduleAtFixedRate(() -> reportAll(role), 0, CapacityBench.this.intervalMs,
					TimeUnit.MILLISECONDS);
		}

		private void reportAll(String role) {
			for (int number = 0; number < this.peers.size(); number++) {
				Message notification = role.equals("agent") ? new Message.Load(8, 9_000, false, true, 1, 12_345)
						: entryReport(number);
				this.peers.get(number).send(notification);
			}
		}

		private Message entryReport(int number) {
			String name = "fake-entry-" + number;
			boolean sendsSnapshot = !this.acknowledged.contains(this.peers.get(number));
			Message.EntryReport report = createEntryReport(name, sendsSnapshot ? TARGETS_PER_ENTRY : 0,
					this.rosterHash);
			TableChanges<Message.TargetState> targets = new TableChanges<>(INCARNATION, sendsSnapshot,
					sendsSnapshot ? 0 : 2, 2, report.targets().changed(), List.of());
			return new Message.EntryReport(name, report.address(), report.revision(), report.crashVersion(),
					this.rosterHash, report.pools(), targets);
		}

		@Override
		public void close() {
			this.timer.shutdownNow();
			this.networks.parallelStream().forEach(PeerNetwork::stop);
		}

	}

}
