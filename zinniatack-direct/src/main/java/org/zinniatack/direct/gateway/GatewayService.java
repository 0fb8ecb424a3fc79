package org.zinniatack.direct.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.directory.TargetDirectory;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.table.RouteIndex;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.direct.call.CallDispatcher;
import org.zinniatack.direct.http.TargetClient;
import org.zinniatack.direct.target.TargetDialect;
import org.zinniatack.direct.target.TargetSelector;
import org.zinniatack.process.ProcessStatus;
import org.zinniatack.process.Service;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;

/**
 * An entry process whose targets have no agents: it knows the routing table and the
 * targets from control, dispatches calls and passes jobs on to control.
 */
public final class GatewayService implements Service, ProcessStatus, PeerHandler {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** As in control's own directory: four announcements. */
	private static final long SILENCE_LIMIT_MS = 5_000;

	private static final long FORGET_MS = 120_000;

	/** Two feeds of the control processes, which send twice a second. */
	private static final long CONTROL_SILENCE_MS = 1_500;

	private final GatewaySettings settings;

	private final EventLoop loop;

	private final PeerNetwork network;

	private final ControlLinks control;

	private final TargetDirectory directory = new TargetDirectory(SILENCE_LIMIT_MS, FORGET_MS);

	private final UsageCounter use;

	private final String source = UUID.randomUUID().toString();

	private final TableRequests tableRequests;

	private final TargetSelector targets;

	private final TargetClient client;

	private final CallDispatcher dispatcher;

	private volatile @Nullable RouteIndex index;

	private volatile boolean stopping;

	private volatile long startedMs;

	private volatile long lastFeedMs = Long.MIN_VALUE / 2;

	private long useSequence;

	private UsageCounter.@Nullable Counted useUnderWay;

	private @Nullable Future<?> reporting;

	/**
	 * Returns a process that is not started.
	 * @param settings the settings
	 * @param loop the event loop of callers and targets
	 * @param dialect how targets are spoken to
	 */
	public GatewayService(GatewaySettings settings, EventLoop loop, TargetDialect dialect) {
		this.settings = settings;
		this.loop = loop;
		this.network = new PeerNetwork(new PeerIdentity("gateway", settings.name()),
				ClusterSecret.of(settings.clusterSecret()), this, 1);
		this.control = new ControlLinks(this.network, this::subscribe);
		this.tableRequests = new TableRequests(loop, this::tableNumber, ThreadLocalRandom.current()::nextInt);
		this.use = new UsageCounter(Math.round(1_000 * settings.usageWindowS()));
		this.client = new TargetClient(loop, dialect);
		this.targets = new TargetSelector((pool) -> this.directory.ready(pool, nowMs()), settings.failureDomain(),
				this.client::hasIdleConnection, this::takeLeaving);
		this.dispatcher = new CallDispatcher(loop, this.client, dialect, this.targets);
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	@Override
	public void start() {
		this.startedMs = nowMs();
		this.control.addAddresses(this.settings.clusterAddresses());
		this.reporting = this.loop.scheduleWithFixedDelay(this::reportUse, this.settings.usageIntervalMs(),
				this.settings.usageIntervalMs(), TimeUnit.MILLISECONDS);
		LOGGER.atInfo()
			.log("event=gateway_started name=%s seeds=%s", this.settings.name(), this.settings.seedAddresses());
	}

	@Override
	public void stop() {
		this.stopping = true;
		if (this.reporting != null) {
			this.reporting.cancel(false);
		}
		this.control.close();
		this.network.stop();
		LOGGER.atInfo().log("event=gateway_stopped name=%s", this.settings.name());
	}

	/** Takes the process out of rotation; what has begun goes on. */
	public void leaveRotation() {
		this.stopping = true;
		LOGGER.atInfo().log("event=gateway_draining name=%s", this.settings.name());
	}

	/**
	 * Returns how long the process has been running.
	 * @return the time since its start in milliseconds
	 */
	public long uptimeMs() {
		return nowMs() - this.startedMs;
	}

	@Override
	public boolean isReady() {
		return !this.stopping && this.index != null && (!this.settings.closeWithoutControl() || hasRecentControlFeed());
	}

	/**
	 * Returns whether a control process was heard lately.
	 * @return true if this process knows what is in force
	 */
	public boolean hasRecentControlFeed() {
		return nowMs() - this.lastFeedMs < CONTROL_SILENCE_MS;
	}

	@Override
	public Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("role", "gateway");
		dump.put("name", this.settings.name());
		dump.put("ready", isReady());
		dump.put("controlLinks", this.control.openCount());
		dump.put("tableNumber", tableNumber());
		dump.put("targets", this.directory.notices());
		return dump;
	}

	private void subscribe(Peer peer) {
		LOGGER.atInfo().log("event=control_connected control=%s table=%d", peer.identity().nodeId(), tableNumber());
		peer.send(new Message.Subscribe());
		peer.whenClosed(() -> {
			LOGGER.atInfo().log("event=control_lost control=%s", peer.identity().nodeId());
			this.loop.execute(() -> this.tableRequests.removePeer(peer));
		});
	}

	private long tableNumber() {
		RouteIndex held = this.index;
		return (held != null) ? held.table().number() : 0;
	}

	@Override
	public void onNotification(Peer peer, Message message) {
		if (message instanceof Message.SystemFeed feed) {
			this.loop.execute(() -> takeFeed(peer, feed));
		}
	}

	private void takeFeed(Peer peer, Message.SystemFeed feed) {
		this.lastFeedMs = nowMs();
		this.control.addAddresses(feed.controlAddresses());
		for (TargetNotice notice : feed.targets()) {
			if (this.directory.merge(notice, nowMs())) {
				LOGGER.atInfo()
					.log("event=target_learned target=%s state=%s pool=%s address=%s sequence=%d control=%s",
							notice.id(), notice.state(), notice.pool(), notice.address(), notice.sequence(),
							peer.identity().nodeId());
				if (notice.state() == TargetNotice.State.GONE) {
					this.client.closeIdleConnections(notice.address());
				}
			}
		}
		this.directory.recordHeard(feed.heardTargetIds(), nowMs());
		this.directory.evictSilent(nowMs());
		RoutingTable table = feed.table();
		if (table != null && table.number() > tableNumber()) {
			this.index = new RouteIndex(table);
			LOGGER.atInfo()
				.log("event=table_in_force number=%d routes=%d control=%s", table.number(), table.routes().size(),
						peer.identity().nodeId());
		}
		this.tableRequests.recordAnnouncement(peer, feed.tableNumber());
	}

	private void takeLeaving(TargetNotice target) {
		if (this.directory.merge(target.asDraining(), nowMs())) {
			LOGGER.atInfo()
				.log("event=target_leaving target=%s pool=%s address=%s sequence=%d source=answer", target.id(),
						target.pool(), target.address(), target.sequence());
			this.client.closeIdleConnections(target.address());
		}
	}

	/**
	 * Returns the routes and customers in force.
	 * @return the index, or empty if none is known yet
	 */
	public Optional<RouteIndex> routeIndex() {
		return Optional.ofNullable(this.index);
	}

	/**
	 * Returns the dispatcher of calls.
	 * @return the dispatcher, for use on the event loop
	 */
	public CallDispatcher dispatcher() {
		return this.dispatcher;
	}

	/**
	 * Counts that a target has begun to run a request.
	 * @param customer the customer
	 */
	public void countUsage(String customer) {
		this.use.count(customer, System.currentTimeMillis());
	}

	private void reportUse() {
		if (this.useUnderWay == null) {
			this.useUnderWay = this.use.take();
			this.useSequence += (this.useUnderWay != null) ? 1 : 0;
		}
		UsageCounter.Counted counted = this.useUnderWay;
		if (counted == null) {
			return;
		}
		propose(new Command.RecordUsage(this.source, this.useSequence, counted.startMs(), counted.figures()))
			.whenComplete((reply, failure) -> this.loop.execute(() -> {
				if (failure == null && this.useUnderWay == counted) {
					this.useUnderWay = null;
				}
			}));
	}

	/**
	 * Has control carry out a command.
	 * @param command the command, which may be carried out more than once
	 * @return the reply; it fails with a {@link ServiceException} whose code tells
	 * whether the command can have been carried out
	 */
	public CompletableFuture<Reply> propose(Command command) {
		return this.control.call(new Message.Propose(command, false), 0).thenCompose((answer) -> {
			try {
				return CompletableFuture.completedFuture(((Message.Proposed) answer).reply().orThrow());
			}
			catch (ServiceException ex) {
				return CompletableFuture.failedFuture(ex);
			}
		});
	}

	/**
	 * Reads results of a job.
	 * @param read what to read
	 * @return the results; it fails with a {@link ServiceException} if control cannot be
	 * sure
	 */
	public CompletableFuture<Message.JobPage> readJob(Message.ReadJob read) {
		return this.control.call(read, read.waitMs()).thenApply(Message.JobPage.class::cast);
	}

	/**
	 * Reads the body of an item.
	 * @param read what to read
	 * @return the body, or empty if there is none; it fails with a
	 * {@link ServiceException} if control cannot be sure
	 */
	public CompletableFuture<Optional<byte[]>> readItem(Message.ReadItem read) {
		return this.control.call(read, 0)
			.thenApply((answer) -> Optional.ofNullable(((Message.ItemBody) answer).body()));
	}

	/**
	 * Returns the codes of failures that leave open whether something was carried out.
	 * @param failure what a call failed with
	 * @return the code, INTERNAL if it is not known
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
	 * Returns the names of the pools' targets for the state dump.
	 * @param pool the pool
	 * @return the targets that take requests
	 */
	public List<TargetNotice> readyTargets(String pool) {
		return this.targets.ready(pool);
	}

}
