package org.zinniatack.bench;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import picocli.CommandLine;

import org.zinniatack.control.ControlService;
import org.zinniatack.control.ControlSettings;
import org.zinniatack.core.config.RecordKind;
import org.zinniatack.core.state.Command;
import org.zinniatack.standin.ReservedPorts;

/**
 * Measures the control processes: commit latency compared with a plain disk sync, the
 * rate of changes from concurrent operators, and the restart time.
 */
@CommandLine.Command(name = "control", description = "Measures commits, group commit and restarts of control.")
final class ControlBench implements Callable<Integer> {

	private static final int SYNCS = 300;

	private static final long ROUND_MS = 3_000;

	@CommandLine.Option(names = "--folder", required = true, description = "a folder on the disk to measure")
	private Path folder;

	@CommandLine.Option(names = "--changes", defaultValue = "50000",
			description = "the number of changes before the second restart")
	private int changes;

	private int nextWriterNumber;

	@Override
	public Integer call() throws Exception {
		Files.createDirectories(this.folder);
		Histogram bareLatency = measureBareSyncs();
		Table syncs = new Table("what", "p50, us", "p99, us");
		syncs.row("bare sync of 256 bytes", bareLatency.getValueAtPercentile(50), bareLatency.getValueAtPercentile(99));
		List<ControlService> members = startMembers();
		Table writes = new Table("operators", "changes a second", "p50, us", "p99, us");
		for (int operators : new int[] { 1, 16, 256 }) {
			measureWrites(members, operators, 500);
			Histogram latency = measureWrites(members, operators, ROUND_MS);
			if (operators == 1) {
				syncs.row("commit over three processes, one operator", latency.getValueAtPercentile(50),
						latency.getValueAtPercentile(99));
			}
			writes.row(operators, latency.getTotalCount() * 1000 / ROUND_MS, latency.getValueAtPercentile(50),
					latency.getValueAtPercentile(99));
		}
		members.forEach(ControlService::stop);
		syncs.print();
		writes.print();
		measureRestarts();
		return 0;
	}

	private Histogram measureBareSyncs() throws IOException {
		Histogram latency = new Histogram(3);
		try (FileChannel channel = FileChannel.open(this.folder.resolve("bare"), StandardOpenOption.CREATE,
				StandardOpenOption.WRITE, StandardOpenOption.APPEND)) {
			for (int number = 0; number < SYNCS; number++) {
				long startedNs = System.nanoTime();
				channel.write(ByteBuffer.allocate(256));
				channel.force(false);
				latency.recordValue((System.nanoTime() - startedNs) / 1000);
			}
		}
		return latency;
	}

	private List<ControlService> startMembers() throws Exception {
		Map<String, String> addresses = new LinkedHashMap<>();
		for (String name : List.of("c1", "c2", "c3")) {
			addresses.put(name, ReservedPorts.nextAddress());
		}
		List<ControlService> members = new ArrayList<>();
		List<CompletableFuture<Void>> starting = new ArrayList<>();
		for (String name : addresses.keySet()) {
			ControlService service = new ControlService(settings(name, this.folder.resolve(name), addresses));
			members.add(service);
			starting.add(start(service));
		}
		for (CompletableFuture<Void> each : starting) {
			each.get();
		}
		awaitLeader(members);
		return members;
	}

	private static CompletableFuture<Void> start(ControlService service) {
		return CompletableFuture.runAsync(() -> {
			try {
				service.start();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}, (task) -> new Thread(task).start());
	}

	private static ControlSettings settings(String name, Path data, Map<String, String> addresses) {
		return new ControlSettings(name, data.toString(), addresses.get(name), ReservedPorts.nextAddress(), addresses,
				List.of("a"), "a secret of the bench", List.of(), "", 3_600_000, 0, 1_000);
	}

	private static void awaitLeader(List<ControlService> members) throws InterruptedException {
		while (members.stream().noneMatch(ControlService::isReady)
				|| !tryPropose(members, "probe" + System.nanoTime())) {
			Thread.sleep(10);
		}
	}

	private static boolean tryPropose(List<ControlService> members, String name) {
		for (ControlService member : members) {
			try {
				member.propose(putCustomer(name)).get();
				return true;
			}
			catch (InterruptedException | ExecutionException ex) {
				// This member may know no leader: try the next one.
			}
		}
		return false;
	}

	private static Command putCustomer(String name) {
		return new Command.PutRecord(name, RecordKind.CUSTOMER, name, 2, "{\"weight\":1}", 0);
	}

	private Histogram measureWrites(List<ControlService> members, int operators, long durationMs) throws Exception {
		ControlService leader = members.get(0);
		for (ControlService member : members) {
			if (String.valueOf(member.status().get().get("leader"))
				.startsWith(String.valueOf(member.dump().get("name")))) {
				leader = member;
			}
		}
		ControlService currentLeader = leader;
		Histogram latency = new SynchronizedHistogram(3);
		ExecutorService executor = Executors.newFixedThreadPool(operators);
		long endNs = System.nanoTime() + durationMs * 1_000_000;
		List<CompletableFuture<Void>> running = new ArrayList<>();
		for (int operator = 0; operator < operators; operator++) {
			String prefix = "w" + this.nextWriterNumber++ + "-";
			running.add(CompletableFuture.runAsync(() -> {
				for (int number = 0; System.nanoTime() < endNs; number++) {
					long startedNs = System.nanoTime();
					currentLeader.propose(putCustomer(prefix + number)).join();
					latency.recordValue((System.nanoTime() - startedNs) / 1000);
				}
			}, executor));
		}
		for (CompletableFuture<Void> each : running) {
			each.get();
		}
		executor.shutdown();
		return latency;
	}

	private void measureRestarts() throws Exception {
		Table table = new Table("changes", "restart until it leads and is current, ms", "folder, KB");
		for (int count : new int[] { 500, this.changes }) {
			Path data = this.folder.resolve("single-" + count);
			Map<String, String> addresses = Map.of("c1", ReservedPorts.nextAddress());
			ControlService writer = new ControlService(settings("c1", data, addresses));
			writer.start();
			awaitLeader(List.of(writer));
			List<CompletableFuture<?>> pending = new ArrayList<>();
			for (int number = 0; number < count; number++) {
				pending.add(writer.propose(putCustomer("n" + number)));
				if (pending.size() == 1_000) {
					CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0])).join();
					pending.clear();
				}
			}
			CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0])).join();
			writer.stop();
			long startedNs = System.nanoTime();
			ControlService restarted = new ControlService(settings("c1", data, addresses));
			restarted.start();
			awaitLeader(List.of(restarted));
			long restartMs = (System.nanoTime() - startedNs) / 1_000_000;
			restarted.stop();
			table.row(count, restartMs, sizeBytes(data) / 1024);
		}
		table.print();
	}

	private static long sizeBytes(Path data) throws IOException {
		try (Stream<Path> files = Files.walk(data)) {
			return files.sorted(Comparator.naturalOrder()).mapToLong((file) -> file.toFile().length()).sum();
		}
	}

}
