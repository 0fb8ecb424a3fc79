package org.zinniatack.store;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests the heap that reading a data folder takes, in a process whose heap is bounded.
 */
class RecoveryHeapTests {

	private static final int MIB = 1024 * 1024;

	private static final int ENTRIES = 32;

	/** The heap of a process that reads nothing, and of the buffers. */
	private static final int CONSTANT_MIB = 16;

	@TempDir
	private Path folder;

	private ReplicaStore storeOfLargeEntries() throws ServiceException {
		ReplicaStore store = ReplicaStore.open(this.folder, "a");
		store.initialize(PersistentState.bootstrap(Membership.ofVoters(List.of(store.replicaId()))));
		for (int index = 2; index <= ENTRIES; index++) {
			store.persist(new Effects(new HardState(1, "a"), null, 0,
					List.of(LogEntry.command(index, 1, new byte[MIB])), List.of(), List.of()));
		}
		return store;
	}

	private String entriesRestoredWithin(int heapMiB) throws Exception {
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-XX:+UseSerialGC", "-Xmn8m", "-Xmx" + heapMiB + "m", "-cp", System.getProperty("java.class.path"),
				RecoveryProcess.class.getName(), this.folder.toString())
			.redirectError(new File("/dev/null"))
			.start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		process.waitFor(1, TimeUnit.MINUTES);
		return output;
	}

	// Guards against a journal that fits the disk but can no longer be read.
	@Test
	void aStartTakesNoMoreThanOneAndAHalfTimesTheEntriesThatItRestores() throws Exception {
		storeOfLargeEntries().close();
		assertThat(entriesRestoredWithin(ENTRIES * 3 / 2 + CONSTANT_MIB), is(String.valueOf(ENTRIES)));
	}

	// Guards against a start that fails on entries which the newest snapshot covers.
	@Test
	void entriesThatTheSnapshotCoversTakeNoHeap() throws Exception {
		try (ReplicaStore store = storeOfLargeEntries()) {
			store.prepareSnapshot(new Snapshot(ENTRIES, 1, Membership.empty(), 0),
					(output) -> output.write(new byte[MIB]));
		}
		assertThat(entriesRestoredWithin(CONSTANT_MIB), is("0"));
	}

}
