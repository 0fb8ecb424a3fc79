package org.zinniatack.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Ticker;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Replica;
import org.zinniatack.core.consensus.ReplicaSettings;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.job.JobSize;
import org.zinniatack.core.membership.JoinRequests;
import org.zinniatack.core.membership.MemberChange;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.state.StateSize;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;
import org.zinniatack.store.ReplicaStore;
import org.zinniatack.wire.StateCodec;

/**
 * Runs a replica on a single thread. Each round executes the queued tasks, persists their
 * changes with one sync, sends messages and hands committed entries over to the thread
 * that applies them. Only reading the folder again after a disk failure grows with the
 * state.
 */
final class ReplicaDriver implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int MAX_TASKS_PER_ROUND = 1024;

	private static final long TICK_MS = 50;

	private static final long DISK_RETRY_MS = 500;

	private static final int MAX_PENDING_COMMANDS = 10_000;

	private static final long SNAPSHOT_RETRY_MS = 5_000;

	/** The journals that a snapshot replaces, and as much again while it is written. */
	private static final long HURRY_JOURNAL_BYTES = 2 * ProportionalSnapshots.CEILING_BYTES;

	private static final long STALL_THRESHOLD_MS = 200;

	private static final long STOP_TIMEOUT_MS = 5_000;

	/** The time of three elections; a restarting voter responds sooner. */
	private static final long VOTER_TIMEOUT_MS = 2_000;

	private final ReplicaStore store;

	private final ReplicaSettings settings;

	private final DiskMeter disk;

	private final Ticker ticker;

	private final SuspensionDetector suspensions;

	private final VoterLimits voterLimits;

	private final Consumer<ConsensusMessage> messageSender;

	private final ProcessEnd processEnd;

	private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();

	private final AppliedState applied;

	private final ExecutorService encoder = Executors
		.newSingleThreadExecutor((task) -> new Thread(task, "command-encoder"));

	private final JoinRequests joinRequests = new JoinRequests();

	private final Thread thread = new Thread(this::run, "replica");

	private final SnapshotPolicy snapshotPolicy;

	private final StateBudget budget;

	private final SnapshotWriter snapshots;

	private boolean snapshotRunning;

	private long snapshotRetryAtMs = Long.MIN_VALUE;

	/** Counts the starts of the replica from the state on disk. */
	private int restartCount;

	private Replica replica;

	/** The last term in which the state was handed over that its leader began with. */
	private long readableTerm = -1;

	private long handedOverAsOfMs = Long.MIN_VALUE;

	private long snapshotIndex;

	private long snapshotBytes;

	private long diskRetryAtMs;

	private long roundStartedMs;

	private boolean writable = true;

	/** The suspensions after which this replica has given up its leadership. */
	private int suspensionCount;

	/** A time after which this process has not led in terms before the present one. */
	private volatile long ledUntilMs;

	private volatile boolean running = true;

	private volatile ReplicaStatus status;

	/**
	 * Creates a driver that is not started, and restores the state from the disk.
	 * @param persistent what the store has loaded
	 */
	ReplicaDriver(ReplicaStore store, PersistentState persistent, Ticker ticker, long idleSinceMs,
			VoterLimits voterLimits, Consumer<ConsensusMessage> messageSender, Consumer<ControlState> stateListener,
			SnapshotPolicy snapshotPolicy, StateBudget budget, ProcessEnd processEnd) throws ServiceException {
		this(store, persistent, ticker, System::currentTimeMillis, idleSinceMs, voterLimits, messageSender,
				stateListener, snapshotPolicy, budget, processEnd);
	}

	/**
	 * Creates a driver with a wall clock of its own.
	 * @param wallMs the wall clock, in milliseconds since the epoch
	 */
	ReplicaDriver(ReplicaStore store, PersistentState persistent, Ticker ticker, LongSupplier wallMs, long idleSinceMs,
			VoterLimits voterLimits, Consumer<ConsensusMessage> messageSender, Consumer<ControlState> stateListener,
			SnapshotPolicy snapshotPolicy, StateBudget budget, ProcessEnd processEnd) throws ServiceException {
		this.store = store;
		this.settings = ReplicaSettings.defaults(store.replicaId());
		this.suspensions = new SuspensionDetector(ticker, wallMs, this.settings.unnoticedSuspensionMs());
		this.disk = new DiskMeter(store);
		this.voterLimits = voterLimits;
		this.ticker = ticker;
		this.messageSender = messageSender;
		this.snapshotPolicy = snapshotPolicy;
		this.budget = budget;
		this.processEnd = processEnd;
		this.snapshots = new SnapshotWriter(store, ticker, processEnd);
		this.applied = new AppliedState(ticker, stateListener, processEnd);
		if (persistent.snapshot().index() > 0) {
			this.applied.restoreAtStart(persistent.snapshot(), store.openSnapshot(persistent.snapshot()));
		}
		this.ledUntilMs = nowMs();
		this.replica = startReplica(persistent, idleSinceMs);
		this.status = currentStatus();
	}

	/**
	 * Starts the replica from the state on disk.
	 * @param idleSinceMs a time since which no replica has acted on it
	 */
	private Replica startReplica(PersistentState persistent, long idleSinceMs) {
		Replica started = Replica.start(this.settings, persistent, RandomGenerator.getDefault(), idleSinceMs, nowMs());
		replacedBy(persistent.snapshot());
		this.restartCount++;
		return started;
	}

	@Override
	public void start() {
		this.applied.start();
		this.thread.start();
	}

	@Override
	public void stop() {
		submit(() -> {
			if (transferLeadership(nowMs())) {
				LOGGER.atInfo().log("event=leadership_transferred term=%d", this.replica.term());
			}
		});
		submit(() -> this.running = false);
		try {
			this.thread.join(STOP_TIMEOUT_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.encoder.shutdown();
		this.applied.stop();
		this.snapshots.stop();
		this.store.close();
	}

	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.ticker.nanoTime());
	}

	ReplicaStatus status() {
		return this.status;
	}

	/**
	 * Returns the present status if this replica holds the leader lease, so that no other
	 * can lead.
	 */
	Optional<ReplicaStatus> leading() {
		ReplicaStatus current = this.status;
		return current.holdsLease(nowMs(), this.suspensions.count()) ? Optional.of(current) : Optional.empty();
	}

	/**
	 * Returns a time after which this process has not led in terms before the present
	 * one: the time at which it opened the data folder, or noticed that it no longer led.
	 */
	long ledUntilMs() {
		return this.ledUntilMs;
	}

	/**
	 * Appends a command to the log and returns its reply once it is applied. The future
	 * fails with NOT_LEADER if this replica does not lead.
	 */
	CompletableFuture<Reply> propose(Command command) {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		try {
			this.encoder.execute(() -> encodeAndPropose(command, reply));
		}
		catch (RejectedExecutionException ex) {
			reply.completeExceptionally(ServiceException.of(ResultCode.SHUTTING_DOWN, "the replica is stopping"));
		}
		return reply;
	}

	private void encodeAndPropose(Command command, CompletableFuture<Reply> reply) {
		try {
			JobSize added = this.budget.demandOf(command);
			byte[] encoded = StateCodec.encode(command);
			submit(() -> proposeIfFitting(command, encoded, added, reply));
		}
		catch (ServiceException ex) {
			reply.completeExceptionally(ex);
		}
		catch (IOException | RuntimeException ex) {
			reply
				.completeExceptionally(ServiceException.of(ResultCode.MALFORMED_BODY, String.valueOf(ex.getMessage())));
		}
		catch (Error ex) {
			this.processEnd.end("command-encoder", ex);
		}
	}

	private void proposeIfFitting(Command command, byte[] encoded, JobSize added, CompletableFuture<Reply> reply) {
		if (!this.replica.isLeader() || !(command instanceof Command.SubmitJob submit)
				|| this.budget.fits(this.applied.size(), added)) {
			propose(encoded, added, reply);
			return;
		}
		if (!isReadable(nowMs())) {
			reply.completeExceptionally(ServiceException.retryable(ResultCode.CHANGE_UNDECIDED,
					"job %s may be among the changes of the leader before".formatted(submit.submission().id().name()),
					DISK_RETRY_MS));
			return;
		}
		// A job that was accepted before is accepted again.
		this.applied.awaitApplied(Math.max(this.replica.commitIndex(), this.applied.lastPendingIndex()))
			.orTimeout(VOTER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.thenCompose((applied) -> read((state) -> refusalOf(submit, state, added)))
			.whenComplete((refusal, failure) -> {
				if (failure != null) {
					reply.completeExceptionally(ServiceException.retryable(ResultCode.CHANGE_UNDECIDED,
							"it is unknown whether job %s was accepted before"
								.formatted(submit.submission().id().name()),
							DISK_RETRY_MS));
				}
				else if (refusal.isPresent()) {
					reply.completeExceptionally(refusal.get());
				}
				else {
					submit(() -> propose(encoded, JobSize.ZERO, reply));
				}
			});
	}

	/** Returns why a job is not accepted, empty for one that is already known. */
	private Optional<ServiceException> refusalOf(Command.SubmitJob submit, ControlState state, JobSize added) {
		if (state.jobs().isKnown(submit.submission(), submit.ownerMatch())) {
			return Optional.empty();
		}
		ServiceException refusal = this.budget.refusal(state, added, System.currentTimeMillis());
		LOGGER.atInfo()
			.log("event=job_refused job=%s items=%d code=%d retry_after_ms=%d detail=\"%s\"",
					submit.submission().id().name(), submit.submission().items().size(), refusal.code().number(),
					refusal.retryAfterMs(), refusal.getMessage());
		return Optional.of(refusal);
	}

	/**
	 * Returns the heap that the state takes with the commands that are not applied yet.
	 */
	StateSize stateSize() {
		return this.applied.size();
	}

	private void propose(byte[] command, JobSize added, CompletableFuture<Reply> reply) {
		try {
			if (!this.writable) {
				throw ServiceException.retryable(ResultCode.DISK_FULL, "the last write to the disk failed",
						DISK_RETRY_MS);
			}
			if (this.applied.pendingCommands() >= MAX_PENDING_COMMANDS) {
				throw ServiceException.retryable(ResultCode.NOT_ACCEPTED,
						"too many commands are waiting to be committed, the limit is " + MAX_PENDING_COMMANDS,
						DISK_RETRY_MS);
			}
			long index = this.replica.propose(command);
			this.applied.expect(index, this.replica.term(), added, reply);
		}
		catch (ServiceException ex) {
			reply.completeExceptionally(ex);
		}
	}

	/** Reads the applied state on the thread that applies changes to it. */
	<T> CompletableFuture<T> read(Function<ControlState, T> reader) {
		return this.applied.read(reader);
	}

	/**
	 * Reads the routing table as of an index or later, without waiting for other reads.
	 */
	CompletableFuture<Optional<CurrentRoutingTable.Image>> readTable(long index) {
		return this.applied.readTable(index);
	}

	/** Returns a future that completes once the entry at an index is applied. */
	CompletableFuture<Void> awaitApplied(long index) {
		return this.applied.awaitApplied(index);
	}

	/** Records the request of a replica to become a member. */
	void onJoinRequest(String replicaId) {
		submit(() -> this.joinRequests.add(replicaId, nowMs()));
	}

	void receive(ConsensusMessage message) {
		submit(() -> this.replica.receive(message, nowMs()));
	}

	private void submit(Runnable task) {
		this.tasks.add(task);
	}

	private void run() {
		List<Runnable> roundTasks = new ArrayList<>();
		while (this.running) {
			try {
				Runnable first = this.tasks.poll(TICK_MS, TimeUnit.MILLISECONDS);
				if (first != null) {
					roundTasks.add(first);
					this.tasks.drainTo(roundTasks, MAX_TASKS_PER_ROUND);
				}
				this.roundStartedMs = nowMs();
				yieldLeadershipAfterSuspension();
				this.disk.begin();
				int taskCount = roundTasks.size();
				roundTasks.forEach(Runnable::run);
				roundTasks.clear();
				this.replica.tick(nowMs());
				updateMembership();
				processEffects();
				startSnapshotIfDue();
				logIfStalled(taskCount);
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (ServiceException ex) {
				onDiskFailure(ex);
			}
			catch (RuntimeException | Error ex) {
				this.processEnd.end("replica", ex);
				return;
			}
		}
	}

	/**
	 * Gives up the leadership after a suspension, since another replica may lead. If none
	 * does, the transfer takes less time than an election.
	 */
	private void yieldLeadershipAfterSuspension() {
		int count = this.suspensions.count();
		if (count != this.suspensionCount) {
			this.suspensionCount = count;
			if (transferLeadership(nowMs())) {
				LOGGER.atInfo().log("event=leadership_transferred term=%d reason=vm_suspended", this.replica.term());
			}
		}
	}

	private void logIfStalled(int taskCount) {
		long durationMs = nowMs() - this.roundStartedMs;
		if (durationMs > STALL_THRESHOLD_MS) {
			LOGGER.atWarning()
				.log("event=replica_stalled duration_ms=%d tasks=%d disk_ms=%d disk_bytes=%d", durationMs, taskCount,
						this.disk.waitedMs(), this.disk.writtenBytes());
		}
	}

	private void updateMembership() {
		long nowMs = nowMs();
		Collection<String> joiningIds = this.joinRequests.pending(nowMs);
		MemberChange.ReplaceableMembers replaceable = new MemberChange.ReplaceableMembers(
				Set.copyOf(this.replica.unresponsiveVoters(nowMs, VOTER_TIMEOUT_MS)), this.applied.retiringMembers());
		boolean noChangeRequested = joiningIds.isEmpty() && replaceable.retiringNames().isEmpty();
		if (noChangeRequested || !this.replica.holdsLease(nowMs) || transferIfRetiring(replaceable, nowMs)) {
			return;
		}
		MemberChange
			.next(this.replica.membership(), joiningIds, this.replica.caughtUpLearners(), replaceable,
					this.voterLimits.maximumVoters(), this.voterLimits.spread(this.store.replicaId()))
			.ifPresent((next) -> {
				try {
					this.replica.changeMembership(next);
					LOGGER.atInfo()
						.log("event=membership_changed voters=%s learners=%s", next.voters(), next.learners());
				}
				catch (ServiceException ex) {
					LOGGER.atFine().log("event=membership_change_waits detail=\"%s\"", ex.getMessage());
				}
			});
	}

	/**
	 * Transfers leadership if this process is retiring and its replacement is a voter.
	 */
	private boolean transferIfRetiring(MemberChange.ReplaceableMembers replaceable, long nowMs) {
		boolean isReplaced = replaceable.retiringNames().contains(MemberChange.nameOf(this.store.replicaId()))
				&& this.replica.membership().voters().size() > this.voterLimits.maximumVoters();
		return isReplaced && transferLeadership(nowMs);
	}

	/**
	 * Transfers leadership, if possible to a process that has not acted as leader lately,
	 * since another one would have to wait before it sends orders and reports.
	 */
	private boolean transferLeadership(long nowMs) {
		Set<String> recentHolders = this.applied.dutyHolders();
		return this.replica.transferLeadership((id) -> !recentHolders.contains(MemberChange.nameOf(id)), nowMs);
	}

	private void processEffects() throws ServiceException {
		if (!this.writable && nowMs() < this.diskRetryAtMs) {
			return;
		}
		boolean hasMore = true;
		while (hasMore) {
			long nowMs = nowMs();
			long asOfMs = this.replica.currentAsOfMs(nowMs);
			boolean readable = this.replica.holdsLease(nowMs);
			Effects effects = this.replica.takeEffects(nowMs);
			effects.messagesBeforeSync().forEach(this::send);
			this.disk.run(() -> this.store.persist(effects));
			this.writable = true;
			if (!effects.entries().isEmpty()) {
				this.replica.markPersisted(effects.entries().get(effects.entries().size() - 1).index());
			}
			// A read that follows an acknowledgement must find its index in the status.
			updateStatus();
			this.snapshots.hurry(this.store.journalBytes() >= HURRY_JOURNAL_BYTES);
			handOver(effects, asOfMs);
			if (readable && this.readableTerm != this.replica.term()) {
				this.readableTerm = this.replica.term();
				updateStatus();
			}
			effects.messagesAfterSync().forEach(this::send);
			hasMore = effects.needsSync() || !effects.committed().isEmpty();
		}
	}

	private void send(ConsensusMessage message) {
		if (!(message instanceof ConsensusMessage.SnapshotPart part) || part.length() == 0) {
			this.messageSender.accept(message);
			return;
		}
		try {
			this.messageSender
				.accept(part.withBytes(this.store.readSnapshotPart(part.snapshot(), part.offset(), part.length())));
		}
		catch (ServiceException ex) {
			LOGGER.atWarning()
				.log("event=snapshot_part_unreadable index=%d offset=%d to=%s code=%d detail=\"%s\"",
						part.snapshot().index(), part.offset(), part.to(), ex.code().number(), ex.getMessage());
		}
	}

	/**
	 * Restarts the replica from the state on disk, since it must not act on changes that
	 * were not written.
	 */
	private void onDiskFailure(ServiceException diskFailure) {
		LOGGER.atSevere()
			.log("event=disk_refused code=%d detail=\"%s\"", diskFailure.code().number(), diskFailure.getMessage());
		this.writable = false;
		this.diskRetryAtMs = nowMs() + DISK_RETRY_MS;
		this.applied.failPending(diskFailure);
		try {
			PersistentState persistent = this.store.load();
			handOver(persistent.snapshot());
			this.replica = startReplica(persistent, nowMs());
		}
		catch (ServiceException ex) {
			LOGGER.atSevere().log("event=disk_unreadable code=%d detail=\"%s\"", ex.code().number(), ex.getMessage());
		}
		updateStatus();
	}

	private void updateStatus() {
		ReplicaStatus previous = this.status;
		ReplicaStatus current = currentStatus();
		if (previous != null && previous.isLeader() && (!current.isLeader() || current.term() != previous.term())) {
			this.ledUntilMs = nowMs();
		}
		this.status = current;
		if (previous != null
				&& (previous.term() != this.status.term() || !previous.leaderId().equals(this.status.leaderId()))) {
			LOGGER.atInfo().log("event=leader_changed term=%d leader=%s", this.status.term(), this.status.leaderId());
		}
		if (previous != null && previous.open() && !this.status.open()) {
			LOGGER.atWarning()
				.log("event=lease_lost term=%d ended_ms_ago=%d round_ms=%d", previous.term(),
						nowMs() - previous.leaseEndMs(), nowMs() - this.roundStartedMs);
		}
		if (!this.replica.isLeader() && this.applied.pendingCommands() > 0) {
			this.applied.failPending(ServiceException.retryable(ResultCode.CHANGE_UNDECIDED,
					"leadership was lost before the outcome of the command was known", TICK_MS));
		}
	}

	private ReplicaStatus currentStatus() {
		long nowMs = nowMs();
		return new ReplicaStatus(this.store.replicaId(), this.replica.term(), this.replica.leader().orElse(""),
				this.replica.leaseEndMs(nowMs), isReadable(nowMs), this.applied.currentAsOfMs(),
				this.replica.commitIndex(), this.applied.appliedIndex(), this.replica.membership(), this.writable,
				this.suspensionCount);
	}

	private boolean isReadable(long nowMs) {
		return this.readableTerm == this.replica.term() && this.replica.holdsLease(nowMs);
	}

	private void handOver(Snapshot snapshot) throws ServiceException {
		if (snapshot.index() > this.applied.appliedIndex()) {
			this.applied.handOver(snapshot, this.store.openSnapshot(snapshot));
		}
	}

	private void handOver(Effects effects, long asOfMs) throws ServiceException {
		if (effects.snapshot() != null) {
			handOver(effects.snapshot());
			replacedBy(effects.snapshot());
		}
		if (!effects.committed().isEmpty()) {
			this.applied.handOver(effects.committed());
		}
		if (asOfMs > this.handedOverAsOfMs) {
			this.handedOverAsOfMs = asOfMs;
			this.applied.handOverCurrentAsOf(asOfMs);
		}
	}

	/** Starts a snapshot, of which only the header is created on this thread. */
	private void startSnapshotIfDue() {
		long entries = this.applied.appliedIndex() - this.snapshotIndex;
		boolean mayStart = this.writable && !this.snapshotRunning && nowMs() >= this.snapshotRetryAtMs;
		if (entries <= 0 || !mayStart
				|| !this.snapshotPolicy.isDue(this.snapshotBytes, this.store.journalBytes(), entries)) {
			return;
		}
		this.snapshotRunning = true;
		try {
			this.disk.run(this::startJournal);
		}
		catch (ServiceException ex) {
			LOGGER.atWarning()
				.log("event=snapshot_failed index=%d detail=\"%s\"", this.applied.appliedIndex(), ex.getMessage());
			delaySnapshot();
		}
	}

	private void startJournal() throws ServiceException {
		long journaledIndex = this.store.startJournal();
		int startedBy = this.restartCount;
		this.applied.takeImage(journaledIndex, (image) -> submit(() -> writeSnapshot(image, startedBy)));
	}

	private void writeSnapshot(AppliedState.IndexedImage image, int startedBy) {
		if (startedBy != this.restartCount || image.index() <= this.replica.compactedIndex()) {
			delaySnapshot();
			return;
		}
		this.snapshots.write(this.replica.snapshotAt(image.index()), image.image(),
				(written) -> submit(() -> finishSnapshot(written, startedBy)), () -> submit(this::delaySnapshot));
	}

	/** A replica that was restarted may not have applied what the snapshot covers. */
	private void finishSnapshot(Snapshot written, int startedBy) {
		boolean outdated = startedBy != this.restartCount || written.index() <= this.replica.compactedIndex()
				|| written.index() > this.replica.commitIndex();
		if (outdated) {
			delaySnapshot();
			return;
		}
		this.snapshotRunning = false;
		try {
			this.replica.compact(written.index(), written.sizeBytes());
			this.disk.run(() -> this.store.commitSnapshot(written));
			replacedBy(written);
			LOGGER.atInfo()
				.log("event=snapshot_saved index=%d bytes=%d journal_bytes=%d", written.index(), written.sizeBytes(),
						this.store.journalBytes());
		}
		catch (ServiceException ex) {
			delaySnapshot();
			onDiskFailure(ex);
		}
	}

	private void replacedBy(Snapshot snapshot) {
		this.snapshotIndex = snapshot.index();
		this.snapshotBytes = snapshot.sizeBytes();
	}

	private void delaySnapshot() {
		this.snapshotRunning = false;
		this.snapshotRetryAtMs = nowMs() + SNAPSHOT_RETRY_MS;
	}

}
