package org.zinniatack.control;

import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.util.concurrent.Ticker;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.store.ReplicaStore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of a single replica on a real folder: its failures, and what its log takes.
 */
class ReplicaDriverTests {

	private static final long TIMEOUT_MS = 20_000;

	private static final long POLL_MS = 20;

	@TempDir
	private Path folder;

	private final CompletableFuture<Throwable> ended = new CompletableFuture<>();

	private @Nullable ReplicaDriver driver;

	@AfterEach
	void stop() {
		if (this.driver != null) {
			this.driver.stop();
		}
	}

	private static ReplicaStore openStore(Path folder) throws ServiceException {
		ReplicaStore store = ReplicaStore.open(folder, "a");
		if (!store.isInitialized()) {
			store.initialize(PersistentState.bootstrap(Membership.ofVoters(List.of(store.replicaId()))));
		}
		return store;
	}

	private void end(String task, Throwable failure) {
		this.ended.complete(failure);
	}

	private void start(ReplicaStore store, Consumer<ControlState> stateListener) throws ServiceException {
		this.driver = new ReplicaDriver(store, Ticker.systemTicker(), -TIMEOUT_MS, 1, (message) -> {
		}, stateListener, this::end);
		this.driver.start();
	}

	private static Command.ReplaceTable table(long number, byte[] document) {
		return new Command.ReplaceTable(
				new RoutingTable(number, List.of(), Map.of(), List.of(), new CallerLimits(1024, 1024, 1_000, 1_000)),
				document);
	}

	/** Retries until the replica leads. */
	private void commit(Command command) throws Exception {
		long startedNs = System.nanoTime();
		while (true) {
			try {
				this.driver.propose(command).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
				return;
			}
			catch (ExecutionException ex) {
				if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) > TIMEOUT_MS) {
					throw ex;
				}
				TimeUnit.MILLISECONDS.sleep(POLL_MS);
			}
		}
	}

	// Guards against a process that answers on while its replica's thread is gone.
	@Test
	void anErrorOnTheThreadOfTheReplicaEndsTheProcess() throws Exception {
		OutOfMemoryError error = new OutOfMemoryError("injected");
		start(openStore(this.folder), (state) -> {
			throw error;
		});
		assertThat(this.ended.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(error));
	}

	// Guards against a log that is never compacted again since the writer's thread died.
	@Test
	void anErrorOnTheThreadOfTheSnapshotsEndsTheProcess() throws Exception {
		OutOfMemoryError error = new OutOfMemoryError("injected");
		ReplicaStore failing = (ReplicaStore) Proxy.newProxyInstance(ReplicaStore.class.getClassLoader(),
				new Class<?>[] { ReplicaStore.class }, (proxy, method, arguments) -> {
					throw error;
				});
		SnapshotWriter writer = new SnapshotWriter(failing, this::end);
		writer.write(Snapshot.empty(), new ControlState().image(), (written) -> {
		});
		assertThat(this.ended.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(error));
		writer.stop();
	}

}
