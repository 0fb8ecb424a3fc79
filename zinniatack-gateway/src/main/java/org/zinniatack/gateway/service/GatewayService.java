package org.zinniatack.gateway.service;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.DirectoryFeeds;
import org.zinniatack.core.directory.TargetDirectory;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.EarlyEnds;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.OwnerMatch;
import org.zinniatack.core.pace.HeldPermits;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.table.Pool;
import org.zinniatack.core.table.RouteIndex;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.gateway.call.CallDispatcher;
import org.zinniatack.gateway.call.QueueingPolicy;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.suspect.SharedCrashGuard;
import org.zinniatack.gateway.target.TargetObserver;
import org.zinniatack.gateway.target.TargetPaces;
import org.zinniatack.gateway.target.TargetProtocol;
import org.zinniatack.gateway.target.TargetSelector;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.ProcessStatus;
import org.zinniatack.process.Service;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;

/**
 * An entry process that sends requests directly to targets without agents. It receives
 * the routing table and the targets from the control processes, dispatches calls and
 * forwards jobs to the control processes.
 */
public final class GatewayService implements Service, ProcessStatus, PeerHandler {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** Four announcement intervals, the same limit as in the directory of control. */
	private static final long SILENCE_LIMIT_MS = 5_000;

	private static final long EVICTION_MS = 120_000;

	/** Time for two feeds, of which each control process sends two per second. */
	private static final long FEED_TIMEOUT_MS = 1_500;

	private final GatewaySettings settings;

	private final EventLoop loop;

	private final PeerNetwork network;

	private final ControlLinks control;

	private final CallerJobs jobs;

	private final TargetDirectory directory = new TargetDirectory(SILENCE_LIMIT_MS, EVICTION_MS);

	private final UsageCounter usageCounter;

	private final String usageSourceId = UUID.randomUUID().toString();

	private final TableRequests tableRequests;

	private final TargetSelector targets;

	private final TargetClient client;

	private final SharedCrashGuard crashGuard;

	private final SharedStreamRegistry streams;

	private final CallDispatcher dispatcher;

	private final EarlyRequests earlyRequests;

	private volatile @Nullable RouteIndex index;

	private volatile boolean stopping;

	private volatile long startedAtMs;

	private volatile long drainEndsAtMs;

	/** Ends of jobs up to this log index were forgettable when a feed told so. */
	private volatile long forgettableEndsIndex;

	private volatile long lastFeedAtMs = Long.MIN_VALUE / 2;

	private long usageSequence;

	private UsageCounter.@Nullable WindowUsage unconfirmedUsage;

	private @Nullable Future<?> reportingTask;

	/**
	 * Creates a service that is not started.
	 * @param settings the settings
	 * @param loop the event loop for callers and targets
	 * @param protocol the HTTP protocol of the targets
	 */
	public GatewayService(GatewaySettings settings, EventLoop loop, TargetProtocol protocol) {
		this.settings = settings;
		this.loop = loop;
		this.earlyRequests = new EarlyRequests(loop);
		this.network = new PeerNetwork(new PeerIdentity("gateway", settings.name()),
				ClusterSecret.of(settings.clusterSecret()), this, 1);
		this.control = new ControlLinks(this.network, this::subscribe);
		this.jobs = new CallerJobs(this.control);
		this.tableRequests = new TableRequests(loop, this::tableNumber, ThreadLocalRandom.current()::nextInt);
		this.usageCounter = new UsageCounter(Math.round(1_000 * settings.usageWindowS()));
		this.client = new TargetClient(loop, protocol);
		this.targets = new TargetSelector((pool) -> this.directory.ready(pool, nowMs()), settings.failureDomain(),
				this.client::hasIdleConnection, new AnswerObserver(),
				new TargetPaces((target) -> settings.paceTargets(), System::currentTimeMillis),
				new EntryPermits(loop, this::needsPermit,
						(request) -> this.control.callOne(request, HeldPermits.VALID_MS), this::nowMs,
						this::offerWaitingCalls));
		this.crashGuard = new SharedCrashGuard(loop, this::propose, this::isLeaving,
				(target) -> !this.directory.isEvacuated(target), this::nowMs, System::currentTimeMillis);
		this.streams = new SharedStreamRegistry(settings.name(), loop, this.control, this.directory::softwareVersions);
		this.dispatcher = new CallDispatcher(loop, this.client, protocol, this.targets, this.crashGuard,
				QueueingPolicy.forShortTimeouts(this::isPaced), this.streams);
	}

	/** Returns whether a limit on outstanding requests applies to targets of a pool. */
	private boolean isPaced(String pool) {
		return this.targets.ready(pool).stream().anyMatch(this.targets.paces()::isPaced);
	}

	private boolean needsPermit(TargetNotice target, long nowMs) {
		RouteIndex currentIndex = this.index;
		Pool pool = (currentIndex != null) ? currentIndex.table().pools().get(target.pool()) : null;
		return pool != null && pool.boundsColdTargets() && this.directory.isCold(target.id(), nowMs);
	}

	/** Offers the waiting calls again when permits for a cold target have arrived. */
	private void offerWaitingCalls() {
		this.dispatcher.offerWaitingCalls();
	}

	/**
	 * Returns the pace of each target.
	 * @return the paces, of which other threads may read the figures for metrics
	 */
	public TargetPaces paces() {
		return this.targets.paces();
	}

	private boolean isLeaving(TargetNotice target) {
		return this.directory.notice(target.id())
			.filter((newest) -> newest.bornMs() == target.bornMs() && newest.state() != TargetNotice.State.READY)
			.isPresent();
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	@Override
	public void start() {
		this.startedAtMs = nowMs();
		this.control.addAddresses(this.settings.clusterAddresses());
		this.reportingTask = this.loop.scheduleWithFixedDelay(ProcessEnd.halt().guard("usage", this::reportUsage),
				this.settings.usageIntervalMs(), this.settings.usageIntervalMs(), TimeUnit.MILLISECONDS);
		LOGGER.atInfo()
			.log("event=gateway_started name=%s seeds=%s", this.settings.name(), this.settings.seedAddresses());
	}

	@Override
	public void stop() {
		this.stopping = true;
		if (this.reportingTask != null) {
			this.reportingTask.cancel(false);
		}
		this.control.close();
		this.network.stop();
		LOGGER.atInfo().log("event=gateway_stopped name=%s", this.settings.name());
	}

	/**
	 * Makes the readiness check fail while requests are still run.
	 * @param drainMs the time in which requests have to end, in milliseconds
	 */
	public void leaveRotation(long drainMs) {
		this.drainEndsAtMs = nowMs() + drainMs;
		this.stopping = true;
		LOGGER.atInfo().log("event=gateway_draining name=%s drain_ms=%d", this.settings.name(), drainMs);
	}

	/**
	 * Returns how long a request can run that arrives now.
	 * @return the time in milliseconds; without a limit while the process does not stop
	 */
	public long remainingMs() {
		return this.stopping ? this.drainEndsAtMs - nowMs() : Long.MAX_VALUE;
	}

	/**
	 * Ends all calls and held requests with the outcome known so far.
	 * @return completes when their callers' responses are on the way
	 */
	public Future<?> endCalls() {
		return this.loop.submit(() -> {
			this.earlyRequests.refuseAll();
			this.dispatcher.endAll();
		});
	}

	/**
	 * Returns the uptime of the process.
	 * @return the time since its start, in milliseconds
	 */
	public long uptimeMs() {
		return nowMs() - this.startedAtMs;
	}

	@Override
	public boolean isReady() {
		return !this.stopping && this.index != null && (!this.settings.closeWithoutControl() || hasRecentControlFeed());
	}

	/**
	 * Returns the number of targets that state how long work takes there.
	 * @return the number of targets that this process knows to do so
	 */
	public long unevenTargetCount() {
		return this.targets.statingCount();
	}

	/**
	 * Returns whether a control process has sent a feed recently.
	 * @return true if the known routing table and targets are current
	 */
	public boolean hasRecentControlFeed() {
		return nowMs() - this.lastFeedAtMs < FEED_TIMEOUT_MS;
	}

	@Override
	public Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("role", "gateway");
		dump.put("name", this.settings.name());
		dump.put("ready", isReady());
		dump.put("controlLinks", this.control.connectedCount());
		dump.put("tableNumber", tableNumber());
		dump.put("targets", this.directory.notices());
		return dump;
	}

	private void subscribe(Peer peer) {
		LOGGER.atInfo().log("event=control_connected control=%s table=%d", peer.identity().nodeId(), tableNumber());
		this.loop.execute(() -> {
			peer.send(subscription());
			this.streams.onConnected(peer);
		});
		peer.whenClosed(() -> {
			LOGGER.atInfo().log("event=control_lost control=%s", peer.identity().nodeId());
			this.loop.execute(() -> this.tableRequests.removePeer(peer));
		});
	}

	private Message.Subscribe subscription() {
		List<TargetNotice> left = this.directory.notices()
			.stream()
			.filter((notice) -> notice.state() != TargetNotice.State.READY)
			.toList();
		Map<String, Long> silenceMsById = new HashMap<>();
		left.forEach((notice) -> silenceMsById.put(notice.id(), this.directory.silenceMs(notice.id(), nowMs())));
		return new Message.Subscribe(left, silenceMsById);
	}

	private long tableNumber() {
		RouteIndex currentIndex = this.index;
		return (currentIndex != null) ? currentIndex.table().number() : 0;
	}

	@Override
	public void onNotification(Peer peer, Message message) {
		if (message instanceof Message.SystemFeed feed) {
			this.loop.execute(() -> onFeed(peer, feed));
		}
	}

	private void onFeed(Peer peer, Message.SystemFeed feed) {
		this.lastFeedAtMs = nowMs();
		this.control.addAddresses(feed.controlAddresses());
		DirectoryFeeds.updateEvacuations(feed.evacuations(), this.directory, nowMs());
		for (TargetNotice notice : feed.targets()) {
			if (this.directory.mergeRelayed(notice, feed.silenceMs(notice.id()), nowMs())) {
				LOGGER.atInfo()
					.log("event=target_learned target=%s state=%s pool=%s address=%s sequence=%d software=%s control=%s",
							notice.id(), notice.state(), notice.pool(), notice.address(), notice.sequence(),
							notice.softwareVersion(), peer.identity().nodeId());
				this.crashGuard.targetStarted(notice);
				if (notice.state() == TargetNotice.State.GONE) {
					this.client.closeIdleConnections(notice.address());
				}
			}
		}
		DirectoryFeeds.recordHeard(feed, this.directory, nowMs());
		this.directory.evictSilent(nowMs());
		Long endsIndex = feed.forgettableEndsIndex();
		if (endsIndex != null) {
			this.forgettableEndsIndex = Math.max(this.forgettableEndsIndex, endsIndex);
		}
		if (feed.software() != null) {
			this.streams.accept(feed.software());
		}
		this.dispatcher.offerWaitingCalls();
		RoutingTable table = feed.table();
		if (table != null && table.number() > tableNumber()) {
			this.index = new RouteIndex(table);
			this.directory.setColdStarts(table.coldStartMsByPool());
			LOGGER.atInfo()
				.log("event=table_in_force number=%d routes=%d control=%s", table.number(), table.routes().size(),
						peer.identity().nodeId());
			this.earlyRequests.release();
		}
		this.tableRequests.recordAnnouncement(peer, feed.tableNumber());
		if (feed.suspects() != null) {
			this.crashGuard.accept(feed.suspects());
		}
	}

	/**
	 * Returns the routes and customers of the current routing table.
	 * @return the index, or empty before the first table has arrived
	 */
	public Optional<RouteIndex> routeIndex() {
		return Optional.ofNullable(this.index);
	}

	/**
	 * Returns the number of evacuated failure domains.
	 * @return the number that this process knows of
	 */
	public int evacuatedDomainCount() {
		return this.directory.evacuations().domains().size();
	}

	/**
	 * Returns the requests that wait for the first routing table.
	 * @return the requests, for use on the event loop
	 */
	public EarlyRequests earlyRequests() {
		return this.earlyRequests;
	}

	/**
	 * Returns the call dispatcher.
	 * @return the dispatcher, for use on the event loop
	 */
	public CallDispatcher dispatcher() {
		return this.dispatcher;
	}

	/**
	 * Counts one request that a target has begun to run.
	 * @param customer the customer
	 */
	public void countUsage(String customer) {
		this.usageCounter.count(customer, System.currentTimeMillis());
	}

	private void reportUsage() {
		if (this.unconfirmedUsage == null) {
			this.unconfirmedUsage = this.usageCounter.takeOldestWindow();
			this.usageSequence += (this.unconfirmedUsage != null) ? 1 : 0;
		}
		UsageCounter.WindowUsage usage = this.unconfirmedUsage;
		if (usage == null) {
			return;
		}
		propose(new Command.RecordUsage(this.usageSourceId, this.usageSequence, usage.startMs(), usage.figures()))
			.whenComplete((reply, failure) -> this.loop.execute(() -> {
				if (failure == null && this.unconfirmedUsage == usage) {
					this.unconfirmedUsage = null;
				}
			}));
	}

	/**
	 * Sends a command to the control processes.
	 * @param command the command, which may be executed more than once
	 * @return the reply; it fails with a {@link ServiceException} whose code tells
	 * whether the command may have been executed
	 */
	public CompletableFuture<Reply> propose(Command command) {
		return this.control.call(new Message.Propose(command, false), 0).thenCompose((response) -> {
			try {
				return CompletableFuture.completedFuture(((Message.Proposed) response).reply().orThrow());
			}
			catch (ServiceException ex) {
				return CompletableFuture.failedFuture(ex);
			}
		});
	}

	/**
	 * Submits a job. A submission that was held back on its way, here or later, is not
	 * accepted after an end of the job.
	 * @param submission the job
	 * @param match the owners whose job the submission may repeat
	 * @param maximumAgeMs returns the longest time since the caller has sent it, in
	 * milliseconds
	 * @return the reply; it fails with a {@link ServiceException} whose code tells
	 * whether the job may have been accepted
	 */
	public CompletableFuture<Reply> submit(JobSubmission submission, OwnerMatch match, LongSupplier maximumAgeMs) {
		// Before the age, which then includes a stop of this process in between.
		long knownEndsIndex = this.forgettableEndsIndex;
		long ageMs = maximumAgeMs.getAsLong();
		if (ageMs > EarlyEnds.MAX_SUBMISSION_AGE_MS) {
			return CompletableFuture.failedFuture(ServiceException.retryable(ResultCode.SUBMISSION_STALE,
					"job %s may have been sent %d ms ago, the limit is %d".formatted(submission.id().name(), ageMs,
							EarlyEnds.MAX_SUBMISSION_AGE_MS),
					0));
		}
		return propose(new Command.SubmitJob(submission, knownEndsIndex, match));
	}

	/**
	 * Returns the jobs of callers.
	 * @return the jobs, as control holds them
	 */
	public CallerJobs jobs() {
		return this.jobs;
	}

	/**
	 * Returns the result code of a failure.
	 * @param failure the failure, whose causes are searched
	 * @return the code of the first {@link ServiceException}, or INTERNAL if there is
	 * none
	 */
	public static ResultCode codeOf(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof ServiceException known) {
				return known.code();
			}
		}
		return ResultCode.INTERNAL;
	}

	/**
	 * Returns when a failed call may be repeated.
	 * @param failure the failure, whose causes are searched
	 * @return the time of the first {@link ServiceException}, in milliseconds, or 0 if it
	 * states none
	 */
	public static long retryAfterMsOf(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof ServiceException known) {
				return known.retryAfterMs();
			}
		}
		return 0;
	}

	/**
	 * Returns the ready targets of a pool.
	 * @param pool the name of the pool
	 * @return the targets that accept requests
	 */
	public List<TargetNotice> readyTargets(String pool) {
		return this.targets.ready(pool);
	}

	/** Changes the directory according to the answers of targets. */
	private final class AnswerObserver implements TargetObserver {

		@Override
		public void onLeaving(TargetNotice target) {
			if (GatewayService.this.directory.merge(target.asDraining(), nowMs())) {
				LOGGER.atInfo()
					.log("event=target_leaving target=%s pool=%s address=%s sequence=%d source=answer", target.id(),
							target.pool(), target.address(), target.sequence());
				GatewayService.this.client.closeIdleConnections(target.address());
			}
		}

		@Override
		public void onCold(TargetNotice target, long remainingMs) {
			GatewayService.this.directory.recordCold(target, remainingMs, nowMs());
		}

		@Override
		public void onLost(TargetNotice target) {
			GatewayService.this.directory.recordLost(target, nowMs());
		}

		@Override
		public void onAbsent(TargetNotice target) {
			if (GatewayService.this.directory.recordAbsent(target, nowMs())) {
				LOGGER.atInfo()
					.log("event=target_absent target=%s pool=%s address=%s sequence=%d", target.id(), target.pool(),
							target.address(), target.sequence());
			}
		}

	}

}
