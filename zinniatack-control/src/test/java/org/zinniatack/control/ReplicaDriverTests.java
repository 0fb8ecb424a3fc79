package org.zinniatack.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.util.concurrent.Ticker;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.store.ReplicaStore;
import org.zinniatack.wire.StateCodec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of a single replica on a real folder: its failures, and what its log takes.
 */
class ReplicaDriverTests {

	private static final long TIMEOUT_MS = 20_000;

	private static final long POLL_MS = 20;

	/** Half of the shortest election timeout. */
	private static final long ANSWER_MS = 225;

	private static final int CHANGES = 1_000;

	private static final long FLOOR_BYTES = 64 * 1024;

	private static final SnapshotPolicy SMALL_FLOOR = new ProportionalSnapshots(FLOOR_BYTES, 4096, 0);

	/** Compacts nothing, like earlier versions for some thousand changes. */
	private static final SnapshotPolicy NEVER = (snapshotBytes, journalBytes, entries) -> false;

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

	private void start(ReplicaStore store, Consumer<ControlState> stateListener, SnapshotPolicy policy)
			throws ServiceException {
		this.driver = new ReplicaDriver(store, Ticker.systemTicker(), -TIMEOUT_MS, 1, (message) -> {
		}, stateListener, policy, this::end);
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

	// Guards against a leader that is replaced, and a voter that is missed, while its
	// process works on a large state.
	@Test
	void aLongTaskOnTheStateDelaysNoAnswerToAnotherReplica() throws Exception {
		BlockingQueue<ConsensusMessage> sent = new LinkedBlockingQueue<>();
		ReplicaStore store = openStore(this.folder);
		this.driver = new ReplicaDriver(store, Ticker.systemTicker(), -TIMEOUT_MS, 1, sent::add, (state) -> {
		}, SMALL_FLOOR, this::end);
		this.driver.start();
		CountDownLatch done = new CountDownLatch(1);
		CompletableFuture<Boolean> task = this.driver.read((state) -> {
			try {
				return done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				return false;
			}
		});
		this.driver.receive(new ConsensusMessage.VoteRequest("b", store.replicaId(), 1_000, 1_000, 1_000, true, false));
		assertThat(sent.poll(ANSWER_MS, TimeUnit.MILLISECONDS), instanceOf(ConsensusMessage.VoteResponse.class));
		assertThat(task.isDone(), is(false));
		done.countDown();
		assertThat(task.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
	}

	// Guards against a read that misses a change which was acknowledged before it.
	@Test
	void theStatusCoversEachChangeBeforeItIsAcknowledged() throws Exception {
		AtomicInteger missed = new AtomicInteger();
		start(openStore(this.folder), (state) -> {
		}, SMALL_FLOOR);
		ReplicaDriver running = this.driver;
		commit(table(1, new byte[0]));
		for (int number = 2; number <= CHANGES; number++) {
			running.propose(table(number, new byte[0])).thenAccept((reply) -> {
				if (((Reply.Accepted) reply).revision() > running.status().commitIndex()) {
					missed.incrementAndGet();
				}
			}).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		assertThat(missed.get(), is(0));
	}

	// Guards against a process that answers on while its replica's thread is gone.
	@Test
	void anErrorOnTheThreadOfTheReplicaEndsTheProcess() throws Exception {
		OutOfMemoryError error = new OutOfMemoryError("injected");
		start(openStore(this.folder), (state) -> {
			throw error;
		}, SMALL_FLOOR);
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
		SnapshotWriter writer = new SnapshotWriter(failing, Ticker.systemTicker(), this::end);
		writer.write(Snapshot.empty(), new ControlState().image(), (written) -> {
		}, () -> {
		});
		assertThat(this.ended.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(error));
		writer.stop();
	}

	// Guards against a log that outgrows memory and disk, and a compaction that loses a
	// change.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void anyHistoryLeavesABoundedLogAndTheSameStateAfterARestart(long seed) throws Exception {
		Random random = new Random(seed);
		byte[] expected = new byte[0];
		long number = 0;
		for (int life = 0; life < 4; life++) {
			start(openStore(this.folder), (state) -> {
			}, (life == 0 && random.nextBoolean()) ? NEVER : SMALL_FLOOR);
			if (life > 0) {
				awaitState(expected);
				awaitBoundedLog(life);
			}
			for (int change = random.nextInt(80); change >= 0; change--) {
				commit(randomChange(random, ++number));
			}
			expected = state();
			this.driver.stop();
		}
		start(openStore(this.folder), (state) -> {
		}, SMALL_FLOOR);
		awaitState(expected);
		awaitBoundedLog(4);
	}

	private static Command randomChange(Random random, long number) {
		byte[] bytes = new byte[random.nextInt(1 << (4 + random.nextInt(16)))];
		random.nextBytes(bytes);
		JobId id = new JobId("customer", "job-" + random.nextInt(10));
		return switch (random.nextInt(6)) {
			case 0, 1, 2 -> table(number, (random.nextInt(100) == 0) ? new byte[12 << 20] : bytes);
			case 3 -> new Command.SubmitJob(new JobSubmission(id, "host", "model", 0, 1, 2, 3,
					List.of(new JobItem("item", "", "/", Map.of(), bytes, "", 0, null))));
			case 4 -> new Command.FinishItems(id,
					List.of(new ItemResult("item", true, "x".repeat(bytes.length), List.of(number), "")));
			default -> new Command.RemoveJobs(List.of(id));
		};
	}

	private byte[] state() throws Exception {
		return this.driver.read((state) -> {
			try {
				return StateCodec.encode(state.image());
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private void awaitState(byte[] expected) throws Exception {
		await("the state before the restart", () -> Arrays.equals(state(), expected));
	}

	private void awaitBoundedLog(int life) throws Exception {
		await("a bounded log in life " + life, () -> bytesOf("journal-") <= 3 * bytesOf("snapshot-") + FLOOR_BYTES);
	}

	private long bytesOf(String prefix) throws IOException {
		long bytes = 0;
		try (DirectoryStream<Path> files = Files.newDirectoryStream(this.folder, prefix + '*')) {
			for (Path file : files) {
				bytes += sizeOf(file);
			}
		}
		return bytes;
	}

	/** Returns the size of a file that the driver may delete meanwhile. */
	private static long sizeOf(Path file) throws IOException {
		try {
			return Files.size(file);
		}
		catch (NoSuchFileException ex) {
			return 0;
		}
	}

	private static void await(String what, Callable<Boolean> condition) throws Exception {
		long startedNs = System.nanoTime();
		while (!condition.call()) {
			if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) > TIMEOUT_MS) {
				throw new AssertionError(what + " is not reached");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	// Guards against a log that is never compacted, or changes that are refused, after a
	// disk was full.
	@Test
	void aDiskThatIsFullDuringASnapshotDelaysItAndRefusesNothing() throws Exception {
		ReplicaStore disk = openStore(this.folder);
		AtomicInteger attempts = new AtomicInteger();
		ReplicaStore fullAtFirst = (ReplicaStore) Proxy.newProxyInstance(ReplicaStore.class.getClassLoader(),
				new Class<?>[] { ReplicaStore.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("prepareSnapshot") && attempts.incrementAndGet() == 1) {
						throw ServiceException.of(ResultCode.DISK_FULL, "injected");
					}
					return method.invoke(disk, arguments);
				});
		start(fullAtFirst, (state) -> {
		}, SMALL_FLOOR);
		for (int number = 1; number <= 10; number++) {
			commit(table(number, new byte[(int) FLOOR_BYTES]));
		}
		assertThat(attempts.get(), is(1));
		awaitBoundedLog(0);
		assertThat(attempts.get(), is(2));
	}

	// Guards against changes that are refused since there is no room for a snapshot.
	@Test
	void aDiskWithoutRoomForANewJournalDelaysTheSnapshotAndRefusesNothing() throws Exception {
		ReplicaStore disk = openStore(this.folder);
		AtomicInteger attempts = new AtomicInteger();
		ReplicaStore fullAtFirst = (ReplicaStore) Proxy.newProxyInstance(ReplicaStore.class.getClassLoader(),
				new Class<?>[] { ReplicaStore.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("startJournal") && attempts.incrementAndGet() == 1) {
						throw ServiceException.of(ResultCode.DISK_FULL, "injected");
					}
					return method.invoke(disk, arguments);
				});
		start(fullAtFirst, (state) -> {
		}, SMALL_FLOOR);
		commit(table(1, new byte[(int) FLOOR_BYTES]));
		for (int number = 2; number <= 10; number++) {
			this.driver.propose(table(number, new byte[(int) FLOOR_BYTES])).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		assertThat(attempts.get(), is(1));
		awaitBoundedLog(0);
	}

	// Guards against changes that are lost while a slow snapshot is written.
	@Test
	void changesDuringASlowSnapshotAreKeptAndTheLogIsBoundedAfterwards() throws Exception {
		ReplicaStore disk = openStore(this.folder);
		ReplicaStore slow = (ReplicaStore) Proxy.newProxyInstance(ReplicaStore.class.getClassLoader(),
				new Class<?>[] { ReplicaStore.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("prepareSnapshot")) {
						TimeUnit.MILLISECONDS.sleep(300);
					}
					return method.invoke(disk, arguments);
				});
		start(slow, (state) -> {
		}, SMALL_FLOOR);
		for (int number = 1; number <= 100; number++) {
			commit(table(number, new byte[(int) FLOOR_BYTES / 2]));
		}
		awaitBoundedLog(0);
		byte[] expected = state();
		this.driver.stop();
		start(openStore(this.folder), (state) -> {
		}, SMALL_FLOOR);
		awaitState(expected);
	}

}
