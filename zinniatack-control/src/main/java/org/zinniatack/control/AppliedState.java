package org.zinniatack.control;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Ticker;

import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.job.JobSize;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.state.StateSize;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;
import org.zinniatack.wire.StateCodec;

/**
 * The replicated state as far as a replica has applied it. Everything that takes longer
 * the larger the state is runs on a thread of its own, in the order in which it was
 * handed over, so that heartbeats and votes do not wait for it.
 */
final class AppliedState implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long STALL_THRESHOLD_MS = 200;

	private static final int SIZE_LOG_INTERVAL_S = 10;

	private static final long STOP_TIMEOUT_MS = 5_000;

	private final Ticker ticker;

	private final Consumer<ControlState> listener;

	private final ProcessEnd processEnd;

	private final BlockingQueue<Task> tasks = new LinkedBlockingQueue<>();

	private final Map<Long, PendingCommand> pendingCommands = new ConcurrentSkipListMap<>();

	private final List<AppliedWaiter> appliedWaiters = new ArrayList<>();

	private final List<ImageWaiter> imageWaiters = new ArrayList<>();

	private final AppliedTable table = new AppliedTable();

	private final Thread thread = new Thread(this::run, "state");

	private ControlState state = new ControlState();

	private CommandParts commandParts = new CommandParts();

	private volatile long appliedIndex;

	private volatile long currentAsOfMs = Long.MIN_VALUE / 2;

	private volatile Set<String> retiringMembers = Set.of();

	private volatile Set<String> dutyHolders = Set.of();

	private volatile StateSize size = this.state.size();

	/** The size that commands waiting to be applied add to the state. */
	private final AtomicReference<JobSize> pendingSize = new AtomicReference<>(JobSize.ZERO);

	/** Only used by the thread itself. */
	private boolean running = true;

	AppliedState(Ticker ticker, Consumer<ControlState> listener, ProcessEnd processEnd) {
		this.ticker = ticker;
		this.listener = listener;
		this.processEnd = processEnd;
	}

	@Override
	public void start() {
		this.thread.start();
	}

	/** Finishes what was handed over before, and stops. */
	@Override
	public void stop() {
		this.tasks.add(() -> this.running = false);
		try {
			this.thread.join(STOP_TIMEOUT_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.ticker.nanoTime());
	}

	private void run() {
		while (this.running) {
			try {
				Task task = this.tasks.take();
				long startedMs = nowMs();
				task.run();
				long durationMs = nowMs() - startedMs;
				if (durationMs > STALL_THRESHOLD_MS) {
					LOGGER.atWarning()
						.log("event=state_busy duration_ms=%d applied=%d waiting=%d", durationMs, this.appliedIndex,
								this.tasks.size());
				}
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (IOException | ServiceException | RuntimeException | Error ex) {
				this.processEnd.end("state", ex);
				return;
			}
		}
	}

	/** Returns the index of the last applied entry. */
	long appliedIndex() {
		return this.appliedIndex;
	}

	/**
	 * Returns the monotonic time at which the applied state last included every accepted
	 * change, in milliseconds, far in the past if never.
	 */
	long currentAsOfMs() {
		return this.currentAsOfMs;
	}

	/** Returns the control processes that are retiring or have retired. */
	Set<String> retiringMembers() {
		return this.retiringMembers;
	}

	/** Returns the processes that may have acted as leader lately. */
	Set<String> dutyHolders() {
		return this.dutyHolders;
	}

	/** Returns the number of proposed commands that are not decided yet. */
	int pendingCommands() {
		return this.pendingCommands.size();
	}

	/**
	 * Returns the heap that the state takes with the commands that are not applied yet.
	 */
	StateSize size() {
		// A command may be counted twice between the two reads, but is never missed.
		JobSize pending = this.pendingSize.get();
		StateSize applied = this.size;
		return new StateSize(applied.jobs().plus(pending), applied.tableBytes());
	}

	/**
	 * Completes a reply once the command at an index and term is applied.
	 * @param added what the command adds to the state
	 */
	void expect(long index, long term, JobSize added, CompletableFuture<Reply> reply) {
		this.pendingSize.accumulateAndGet(added, JobSize::plus);
		this.pendingCommands.put(index, new PendingCommand(term, added, reply));
	}

	/** Returns the index of the last command that is not decided yet, 0 for none. */
	long lastPendingIndex() {
		return this.pendingCommands.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	/** Fails the replies to all commands that are not applied yet. */
	void failPending(ServiceException failure) {
		for (Long index : List.copyOf(this.pendingCommands.keySet())) {
			PendingCommand pending = this.pendingCommands.remove(index);
			if (pending != null) {
				this.pendingSize.accumulateAndGet(pending.added(), JobSize::minus);
				pending.reply().completeExceptionally(failure);
			}
		}
	}

	/** Reads the state after all that was handed over before. */
	<T> CompletableFuture<T> read(Function<ControlState, T> reader) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.tasks.add(() -> {
			try {
				result.complete(reader.apply(this.state));
			}
			catch (RuntimeException ex) {
				result.completeExceptionally(ex);
			}
		});
		return result;
	}

	/**
	 * Reads the routing table as of an index or later, without waiting for other reads of
	 * the state and for changes of anything else.
	 * @param index the index up to which all changes must be included
	 */
	CompletableFuture<Optional<CurrentRoutingTable.Image>> readTable(long index) {
		return this.table.at(index);
	}

	/**
	 * Passes a consistent image of the state with its index to a consumer, once it
	 * includes the entry at an index. Parts of a command that is not complete are not
	 * included.
	 */
	void takeImage(long index, Consumer<IndexedImage> consumer) {
		this.tasks.add(() -> {
			this.imageWaiters.add(new ImageWaiter(index, consumer));
			completeImageWaiters();
		});
	}

	private void completeImageWaiters() {
		long index = this.appliedIndex - this.commandParts.count();
		this.imageWaiters.removeIf((waiter) -> {
			boolean due = waiter.index() <= index;
			if (due) {
				waiter.consumer().accept(new IndexedImage(index, this.state.image()));
			}
			return due;
		});
	}

	/** Returns a future that completes once the entry at an index is applied. */
	CompletableFuture<Void> awaitApplied(long index) {
		CompletableFuture<Void> applied = new CompletableFuture<>();
		if (index <= this.appliedIndex) {
			applied.complete(null);
			return applied;
		}
		this.tasks.add(() -> {
			this.appliedWaiters.add(new AppliedWaiter(index, applied));
			completeAppliedWaiters();
		});
		return applied;
	}

	/**
	 * Restores the state that a disk holds before the thread starts.
	 * @throws ServiceException if the snapshot cannot be read
	 */
	void restoreAtStart(Snapshot snapshot, InputStream encoded) throws ServiceException {
		restore(snapshot, encoded);
	}

	/** Hands over a snapshot, which is ignored if the state has its changes already. */
	void handOver(Snapshot snapshot, InputStream encoded) {
		this.table.handOverSnapshot(snapshot.index());
		this.tasks.add(() -> {
			if (snapshot.index() > this.appliedIndex) {
				restore(snapshot, encoded);
				onApplied();
			}
			else {
				encoded.close();
			}
		});
	}

	/** Hands over committed entries, of which those that are applied are ignored. */
	void handOver(List<LogEntry> committed) {
		this.table.handOver(committed);
		this.tasks.add(() -> {
			for (LogEntry entry : committed) {
				if (entry.index() > this.appliedIndex) {
					apply(entry);
				}
			}
			onApplied();
		});
	}

	/**
	 * Records that the state includes every change that was accepted at a time, once it
	 * has applied what was handed over before.
	 * @param asOfMs the monotonic time, in milliseconds
	 */
	void handOverCurrentAsOf(long asOfMs) {
		this.tasks.add(() -> this.currentAsOfMs = asOfMs);
	}

	private void restore(Snapshot snapshot, InputStream encoded) throws ServiceException {
		long startedMs = nowMs();
		try (encoded) {
			// The state before it is not needed any more, and both might not fit the
			// heap.
			this.state = new ControlState();
			this.state = ControlState.of(StateCodec.decodeImage(encoded));
		}
		catch (IOException ex) {
			throw ServiceException.of(ResultCode.LOG_CORRUPT, "the snapshot cannot be read: " + ex.getMessage());
		}
		this.commandParts = new CommandParts();
		this.appliedIndex = snapshot.index();
		this.table.publish(snapshot.index(), this.state.routingTable());
		this.retiringMembers = this.state.retiringMembers();
		this.dutyHolders = Set.copyOf(this.state.dutyHolders().names());
		this.size = this.state.size();
		LOGGER.atInfo()
			.log("event=state_restored index=%d bytes=%d duration_ms=%d", snapshot.index(), snapshot.sizeBytes(),
					nowMs() - startedMs);
	}

	private void apply(LogEntry entry) throws IOException {
		PendingCommand pending = this.pendingCommands.remove(entry.index());
		boolean expected = pending != null && pending.term() == entry.term();
		Optional<byte[]> command = this.commandParts.add(entry);
		if (command.isPresent()) {
			Reply reply = apply(entry.index(), StateCodec.decodeCommand(command.get()));
			this.size = this.state.size();
			if (expected) {
				pending.reply().complete(reply);
			}
		}
		this.appliedIndex = entry.index();
		this.table.publish(entry.index(), this.state.routingTable());
		if (pending != null) {
			this.pendingSize.accumulateAndGet(pending.added(), JobSize::minus);
		}
		if (pending != null && !expected) {
			pending.reply()
				.completeExceptionally(
						ServiceException.of(ResultCode.NOT_ACCEPTED, "an entry of another term replaced the command"));
		}
	}

	/**
	 * Refuses a command that the state cannot apply. It is in the log of every replica,
	 * and what it has changed is the same in each, so an end would be repeated at each
	 * start of all of them.
	 */
	private Reply apply(long index, Command command) {
		try {
			return this.state.apply(index, command);
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere()
				.withCause(ex)
				.log("event=command_failed code=%d index=%d command=%s", ResultCode.INTERNAL.number(), index,
						command.getClass().getSimpleName());
			return new Reply.Refused(ResultCode.INTERNAL,
					"the state could not apply the command at index " + index + ": " + ex, 0);
		}
	}

	private void onApplied() {
		this.retiringMembers = this.state.retiringMembers();
		this.dutyHolders = Set.copyOf(this.state.dutyHolders().names());
		LOGGER.atInfo()
			.atMostEvery(SIZE_LOG_INTERVAL_S, TimeUnit.SECONDS)
			.log("event=state_size stored_bytes=%d final_bytes=%d table_bytes=%d applied=%d", this.size.storedBytes(),
					this.size.finalBytes(), this.size.tableBytes(), this.appliedIndex);
		completeAppliedWaiters();
		completeImageWaiters();
		try {
			this.listener.accept(this.state);
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere().withCause(ex).log("event=feed_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	private void completeAppliedWaiters() {
		this.appliedWaiters.removeIf((waiter) -> {
			boolean due = waiter.index() <= this.appliedIndex;
			if (due) {
				waiter.applied().complete(null);
			}
			return due;
		});
	}

	/** A task of the state's thread. */
	private interface Task {

		void run() throws IOException, ServiceException;

	}

	/**
	 * An image of the state.
	 *
	 * @param index the index of the last entry that it includes
	 * @param image the image
	 */
	record IndexedImage(long index, ControlState.Image image) {
	}

	private record ImageWaiter(long index, Consumer<IndexedImage> consumer) {
	}

	private record PendingCommand(long term, JobSize added, CompletableFuture<Reply> reply) {
	}

	private record AppliedWaiter(long index, CompletableFuture<Void> applied) {
	}

}
