package org.zinniatack.control;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.wire.StateCodec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of reads of the routing table while the thread of the state is busy.
 */
class AppliedStateTests {

	private static final long TIMEOUT_MS = 20_000;

	/** Longer than a read that waits for nothing takes. */
	private static final long BUSY_MS = 200;

	private final AppliedState applied = new AppliedState(Ticker.systemTicker(), (state) -> {
	}, (task, failure) -> {
	});

	private final CountDownLatch longTask = new CountDownLatch(1);

	@BeforeEach
	void start() {
		this.applied.start();
	}

	@AfterEach
	void stop() {
		this.longTask.countDown();
		this.applied.stop();
	}

	private static byte[] table(long number) throws IOException {
		return StateCodec.encode(new Command.ReplaceTable(
				new RoutingTable(number, List.of(), Map.of(), List.of(), new CallerLimits(1, 1, 1, 1)),
				new byte[] { (byte) number }));
	}

	private static LogEntry weights(long index) throws IOException {
		return LogEntry.command(index, 1, StateCodec.encode(new Command.AnnounceWeights("model", index)));
	}

	private void startLongRead() {
		this.applied.read((state) -> {
			try {
				return this.longTask.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static long numberOf(CompletableFuture<Optional<CurrentRoutingTable.Image>> read) throws Exception {
		return read.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).orElseThrow().table().number();
	}

	private static void assertWaits(CompletableFuture<?> read) throws InterruptedException {
		Thread.sleep(BUSY_MS);
		assertThat(read.isDone(), is(false));
	}

	// Guards against a configuration that cannot be read while a new leader reads its
	// jobs.
	@Test
	void theTableIsReadDuringALongReadOfTheState() throws Exception {
		this.applied.handOver(List.of(LogEntry.command(1, 1, table(7)), weights(2)));
		this.applied.awaitApplied(2).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		startLongRead();
		this.applied.handOver(List.of(weights(3)));
		assertThat(numberOf(this.applied.readTable(3)), is(7L));
		assertThat(this.longTask.getCount(), is(1L));
	}

	@Test
	void aReadWaitsForAnAcceptedTableThatIsNotAppliedYet() throws Exception {
		this.applied.handOver(List.of(LogEntry.command(1, 1, table(7))));
		startLongRead();
		this.applied.handOver(List.of(LogEntry.command(2, 1, table(8)), weights(3)));
		CompletableFuture<Optional<CurrentRoutingTable.Image>> read = this.applied.readTable(3);
		assertWaits(read);
		this.longTask.countDown();
		assertThat(numberOf(read), is(8L));
	}

	@Test
	void aReadWaitsForATableThatIsDividedOverEntries() throws Exception {
		byte[] encoded = table(8);
		this.applied.handOver(List.of(LogEntry.command(1, 1, table(7))));
		startLongRead();
		this.applied.handOver(List.of(LogEntry.part(2, 1, Arrays.copyOf(encoded, 20)),
				LogEntry.command(3, 1, Arrays.copyOfRange(encoded, 20, encoded.length))));
		CompletableFuture<Optional<CurrentRoutingTable.Image>> read = this.applied.readTable(3);
		assertWaits(read);
		this.longTask.countDown();
		assertThat(numberOf(read), is(8L));
	}

	@Test
	void aReadWaitsUntilTheEntriesUpToItsIndexAreHandedOver() throws Exception {
		this.applied.handOver(List.of(LogEntry.command(1, 1, table(7))));
		CompletableFuture<Optional<CurrentRoutingTable.Image>> read = this.applied.readTable(2);
		assertWaits(read);
		this.applied.handOver(List.of(LogEntry.command(2, 1, table(8))));
		assertThat(numberOf(read), is(8L));
	}

}
