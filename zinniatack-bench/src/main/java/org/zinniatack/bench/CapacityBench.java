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
 * Measures the slopes of the capacity page: sizes, costs and memory in this process, and
 * processor time, memory and traffic of running processes that it sends idle load.
 */
@CommandLine.Command(name = "capacity", description = "Measures the slopes of the capacity page.")
final class CapacityBench implements Callable<Integer> {

	private static final long SETTLE_MS = 3_000;

	private static final long MEASURE_MS = 8_000;

	private static final double NS_A_US = 1_000;

	private static final int SAMPLE_TEXT_BYTES = 2048;

	private static final String INCARNATION = "0f8fad5b-d9cb-469f-a165-70867728950e";

	private static final int TARGETS_OF_AN_ENTRY = 7;

	@CommandLine.Option(names = "--plots", defaultValue = "docs/plots", description = "where plots are written")
	private Path plots;

	@CommandLine.Option(names = "--secret", defaultValue = "", description = "the cluster secret of running processes")
	private String secret;

	@CommandLine.Option(names = "--entry", defaultValue = "", description = "the address of an entry for agents")
	private String entry;

	@CommandLine.Option(names = "--entry-pid", defaultValue = "0", description = "its process id")
	private long entryPid;

	@CommandLine.Option(names = "--control", defaultValue = "", description = "the address of a control process")
	private String control;

	@CommandLine.Option(names = "--control-pid", defaultValue = "0", description = "its process id")
	private long controlPid;

	@CommandLine.Option(names = "--interval-ms", defaultValue = "500", description = "the time between reports")
	private long intervalMs;

	/** Keeps what is measured from being collected. */
	private Object kept = "";

	@Override
	public Integer call() throws Exception {
		sizes();
		records();
		samples();
		rendezvous();
		if (!this.entry.isEmpty()) {
			peers("agents of one entry", "agent", this.entry, this.entryPid, new int[] { 3, 30, 100, 200, 300 });
		}
		if (!this.control.isEmpty()) {
			peers("entries of one control process", "entry", this.control, this.controlPid,
					new int[] { 3, 30, 60, 120, 200 });
		}
		return 0;
	}

	private void sizes() throws IOException {
		Table table = new Table("message", "varies with", "at 3", "at 30", "at 100", "at 300", "bytes = a + b n", "r");
		row(table, "load report", "-", (n) -> new Message.Load(8, 9_000, false, true, 1, 12_345));
		row(table, "consensus heartbeat", "-",
				(n) -> new Message.Consensus(new ConsensusMessage.AppendRequest("control-1.0123456789ab",
						"control-2.0123456789ab", 7, 99_999, 7, List.of(), 99_999, 123_456_789)));
		row(table, "entry report", "changed targets", (n) -> report("entry-1", n, 0));
		row(table, "presence report", "changed entries", (n) -> presence(n, 0));
		row(table, "presence report", "changed targets", (n) -> presence(0, n));
		row(table, "feed without changes", "entries", (n) -> feed(n, 0));
		row(table, "feed with changes", "changed records", (n) -> feed(3, n));
		row(table, "samples to control, 2 KiB each", "samples",
				(n) -> new Message.Propose(new Command.FillSlots("c", "s", sampleList(n)), false));
		row(table, "usage report to control", "customers and routes",
				(n) -> new Message.Propose(new Command.RecordUsage(INCARNATION, 12_345, 1_796_362_020_000L, figures(n)),
						false));
		row(table, "usage note to an agent", "-",
				(n) -> new Message.UsageNote(INCARNATION, 12_345, 1_796_362_020_000L, figures(1).get(0)));
		System.out.println("### Sizes of messages, in bytes with their frame\n");
		table.print();
	}

	private static void row(Table table, String name, String varies, Sized message) throws IOException {
		List<double[]> points = new ArrayList<>();
		List<Object> cells = new ArrayList<>(List.of(name, varies));
		for (int count : new int[] { 3, 30, 100, 300 }) {
			int bytes = StateCodec.frameSizeBytes(message.of(count));
			points.add(new double[] { count, bytes });
			cells.add(bytes);
		}
		Fit fit = Fit.of(points);
		cells.add(String.format("%.0f + %.1f n", fit.intercept(), fit.slope()));
		cells.add(fit.correlation());
		table.row(cells.toArray());
	}

	private static TableChanges<Message.TargetState> targets(String entry, int count) {
		Map<String, Message.TargetState> targets = new HashMap<>();
		for (int number = 0; number < count; number++) {
			String id = entry + "-target-" + number;
			targets.put(id, new Message.TargetState(id, "pool", "domain-1", 9_000, false, 12_345));
		}
		return new TableChanges<>(INCARNATION, false, 1, 2, targets, List.of());
	}

	private static Message.EntryReport report(String name, int changedTargets, int rosterHash) {
		return new Message.EntryReport(name, "10.0.0.1:7400", 12_345, 3, rosterHash,
				List.of(new Message.PoolLoad("pool", 4, 20)), targets(name, changedTargets));
	}

	private static Message presence(int changedEntries, int changedTargets) {
		Map<String, Message.EntryState> entries = new HashMap<>();
		for (int number = 0; number < changedEntries; number++) {
			entries.put("entry-" + number,
					new Message.EntryState("entry-" + number, "10.0.0.1:7400", 12_345, TARGETS_OF_AN_ENTRY, 12_345));
		}
		return new Message.PresenceReport("control-2.0123456789ab", 1, List.of(new Message.PoolLoad("pool", 4, 20)),
				new TableChanges<>(INCARNATION, false, 1, 2, entries, List.of()), targets("entry-1", changedTargets));
	}

	private static Message feed(int entryCount, int changed) {
		Map<String, String> entries = new HashMap<>();
		for (int number = 0; number < entryCount; number++) {
			entries.put("entry-" + number, "10.0.0." + number + ":7400");
		}
		return new Message.Feed(12_345, 12_344, recordList(changed), 7, 20, Map.of("draft", 9_000L), 1, entries, 3,
				List.of(), List.of(), Map.of(), new TableVersion(INCARNATION, 2));
	}

	private static List<ConfigurationRecord> recordList(int count) {
		List<ConfigurationRecord> records = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			records.add(new ConfigurationRecord(RecordKind.KEY, "key-" + number, 2, 10 + number, false,
					"{\"customer\":\"customer-1\",\"digestSha256\":\"" + Sha256Digest.of("k" + number).hex() + "\"}"));
		}
		return records;
	}

	/** Returns figures of some customers on one route. */
	static List<UsageFigure> figures(int count) {
		List<UsageFigure> figures = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			figures.add(new UsageFigure("customer-" + number, "draft", 1_000, 200_000, false));
		}
		return figures;
	}

	private static List<Sample> sampleList(int count) {
		List<Sample> samples = new ArrayList<>();
		for (int slot = 0; slot < count; slot++) {
			samples.add(new Sample(slot, "x".repeat(SAMPLE_TEXT_BYTES), "stop", List.of(new VersionSpan(9_000, 512))));
		}
		return samples;
	}

	private void records() throws Exception {
		Table table = new Table("key records", "state heap, KB", "entry view heap, KB", "view after one change, us",
				"changes for a feed, us", "apply of a change, us", "snapshot, KB", "snapshot, ms");
		XYSeries view = new XYSeries("entry view after one change");
		List<double[]> heap = new ArrayList<>();
		List<double[]> rebuild = new ArrayList<>();
		for (int count : new int[] { 1_000, 4_000, 16_000, 50_000 }) {
			long before = heapBytes();
			ControlState state = new ControlState();
			state.apply(1, new Command.PutRecord("r", RecordKind.CUSTOMER, "customer-1", 2, "{}", 0));
			long beganNs = System.nanoTime();
			for (ConfigurationRecord record : recordList(count)) {
				state.apply(record.revision(), new Command.PutRecord("r" + record.name(), record.kind(), record.name(),
						2, record.document(), 0));
			}
			double applyUs = (System.nanoTime() - beganNs) / NS_A_US / count;
			long stateBytes = heapBytes() - before;
			before = heapBytes();
			Configuration configuration = Configuration.of(1, state.records().records());
			long viewBytes = heapBytes() - before;
			this.kept = configuration;
			double viewUs = changeUs(configuration);
			beganNs = System.nanoTime();
			byte[] snapshot = StateCodec.encode(state.image());
			double snapshotMs = (System.nanoTime() - beganNs) / 1e6;
			table.row(count, stateBytes / 1024, viewBytes / 1024, viewUs, changesUs(state), applyUs,
					snapshot.length / 1024, snapshotMs);
			view.add(count, viewUs);
			heap.add(new double[] { count, stateBytes });
			rebuild.add(new double[] { count, viewUs });
		}
		System.out.println("### State and cost by the number of records\n");
		table.print();
		System.out.printf("state: %.0f bytes a record (r %.4f); view after a change: %.4f us a record (r %.4f)%n%n",
				Fit.of(heap).slope(), Fit.of(heap).correlation(), Fit.of(rebuild).slope(),
				Fit.of(rebuild).correlation());
		Table.plot(this.plots.resolve("records.png"), "Entry: view after one change", "records", "us", List.of(view));
	}

	private static double changeUs(Configuration configuration) throws ServiceException {
		double best = Double.MAX_VALUE;
		List<ConfigurationRecord> changed = recordList(1);
		for (int round = 0; round < 20; round++) {
			long beganNs = System.nanoTime();
			configuration.withChanges(2, changed);
			best = Math.min(best, (System.nanoTime() - beganNs) / NS_A_US);
		}
		return best;
	}

	private static double changesUs(ControlState state) {
		double best = Double.MAX_VALUE;
		for (int round = 0; round < 20; round++) {
			long beganNs = System.nanoTime();
			state.records().recordsAfter(state.records().revision());
			best = Math.min(best, (System.nanoTime() - beganNs) / NS_A_US);
		}
		return best;
	}

	private static void samples() throws IOException {
		Table table = new Table("samples of 2 KiB in steps", "heap, KB", "snapshot, KB");
		List<double[]> points = new ArrayList<>();
		List<ControlState> held = new ArrayList<>();
		for (int count : new int[] { 512, 512, 2_048, 4_096, 8_192, 16_384 }) {
			long before = heapBytes();
			ControlState state = new ControlState();
			state.apply(1, new Command.OpenStep("c", "s", "m", "d", count, 2));
			state.apply(2,
					StateCodec.decodeCommand(StateCodec.encode(new Command.FillSlots("c", "s", sampleList(count)))));
			held.add(state);
			long bytes = heapBytes() - before;
			if (held.size() > 1) {
				points.add(new double[] { count, bytes });
				table.row(count, bytes / 1024, StateCodec.encode(state.image()).length / 1024);
			}
		}
		System.out.println("### State by the number of samples held\n");
		table.print();
		System.out.printf("%.0f bytes a sample (r %.4f)%n%n", Fit.of(points).slope(), Fit.of(points).correlation());
	}

	private static void rendezvous() {
		Table table = new Table("entries", "choice of 16 entries for a target, us");
		for (int count : new int[] { 3, 30, 100, 420 }) {
			List<String> entries = new ArrayList<>();
			for (int number = 0; number < count; number++) {
				entries.add("entry-" + number);
			}
			double best = Double.MAX_VALUE;
			for (int round = 0; round < 200; round++) {
				long beganNs = System.nanoTime();
				Hashing.rendezvous("target-" + round, entries, 16);
				best = Math.min(best, (System.nanoTime() - beganNs) / NS_A_US);
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

	private void peers(String title, String role, String address, long pid, int[] counts) throws Exception {
		Table table = new Table("peers", "processor, % of a core", "resident, MB", "loopback, KB/s",
				"joins, ms of a core");
		List<double[]> joins = new ArrayList<>();
		List<double[]> processor = new ArrayList<>();
		List<double[]> traffic = new ArrayList<>();
		List<double[]> memory = new ArrayList<>();
		for (int count : counts) {
			ProcessMeter joining = new ProcessMeter(pid);
			joining.start();
			long joinBeganNs = System.nanoTime();
			try (FakePeers peers = new FakePeers(role, address, count)) {
				Thread.sleep(SETTLE_MS);
				double joinMs = joining.processorMs();
				double joinS = (System.nanoTime() - joinBeganNs) / 1e9;
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
			Fit fit = Fit.of(figure.getValue());
			System.out.printf("%s: %.4f + %.5f a peer (r %.3f)%n", figure.getKey(), fit.intercept(), fit.slope(),
					fit.correlation());
		}
		System.out.println();
	}

	/** Makes a message for a count. */
	private interface Sized {

		Message of(int count);

	}

	/** Connections that report as agents or entries do. */
	private final class FakePeers implements AutoCloseable {

		private final List<PeerNetwork> networks = new ArrayList<>();

		private final List<Peer> peers = new ArrayList<>();

		private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

		private final Set<Peer> informed = ConcurrentHashMap.newKeySet();

		private volatile int rosterHash;

		FakePeers(String role, String address, int count) throws Exception {
			for (int number = 0; number < count; number++) {
				PeerNetwork network = new PeerNetwork(new PeerIdentity(role, "fake-" + role + "-" + number),
						ClusterSecret.of(CapacityBench.this.secret), new PeerHandler() {
							@Override
							public void onNotification(Peer peer, Message message) {
								if (message instanceof Message.Feed feed) {
									FakePeers.this.rosterHash = feed.rosterHash();
									if (feed.knownTargets().number() == 2) {
										FakePeers.this.informed.add(peer);
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
				Message notice = role.equals("agent") ? new Message.Load(8, 9_000, false, true, 1, 12_345)
						: entryReport(number);
				this.peers.get(number).send(notice);
			}
		}

		private Message entryReport(int number) {
			String name = "fake-entry-" + number;
			boolean isNew = !this.informed.contains(this.peers.get(number));
			Message.EntryReport report = report(name, isNew ? TARGETS_OF_AN_ENTRY : 0, this.rosterHash);
			TableChanges<Message.TargetState> targets = new TableChanges<>(INCARNATION, isNew, isNew ? 0 : 2, 2,
					report.targets().changed(), List.of());
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
