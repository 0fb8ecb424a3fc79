package org.zinniatack.control;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Ticker;

import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.store.ReplicaStore;
import org.zinniatack.wire.StateCodec;

/**
 * Encodes and writes snapshots on its own thread, so that the replica's thread does not
 * wait. Only one snapshot may be in progress at a time.
 */
final class SnapshotWriter {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long STOP_TIMEOUT_MS = 5_000;

	private final ReplicaStore store;

	private final Ticker ticker;

	private final ProcessEnd processEnd;

	private volatile boolean hurried;

	private final ExecutorService executor = Executors
		.newSingleThreadExecutor((task) -> new Thread(task, "snapshot-writer"));

	SnapshotWriter(ReplicaStore store, Ticker ticker, ProcessEnd processEnd) {
		this.store = store;
		this.ticker = ticker;
		this.processEnd = processEnd;
	}

	/**
	 * Writes a snapshot of an image and then, on the writer's thread, passes it to a
	 * consumer or reports the failure.
	 */
	void write(Snapshot header, ControlState.Image image, Consumer<Snapshot> onWritten, Runnable onFailed) {
		this.executor.execute(() -> {
			try {
				onWritten.accept(this.store.prepareSnapshot(header, (output) -> StateCodec.encode(image,
						new PacedOutput(output, this.ticker, () -> this.hurried))));
			}
			catch (ServiceException ex) {
				LOGGER.atWarning().log("event=snapshot_failed index=%d detail=\"%s\"", header.index(), ex.getMessage());
				onFailed.run();
			}
			catch (RuntimeException ex) {
				LOGGER.atSevere()
					.withCause(ex)
					.log("event=snapshot_failed code=%d index=%d", ResultCode.INTERNAL.number(), header.index());
				onFailed.run();
			}
			catch (Error ex) {
				this.processEnd.end("snapshot-writer", ex);
			}
		});
	}

	/** Sets whether a snapshot is written without pauses, since the journal grows. */
	void hurry(boolean isHurried) {
		this.hurried = isHurried;
	}

	void stop() {
		this.hurried = true;
		this.executor.shutdown();
		try {
			this.executor.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
