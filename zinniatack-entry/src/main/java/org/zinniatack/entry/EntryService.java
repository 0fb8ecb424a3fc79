package org.zinniatack.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.util.concurrent.Ticker;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Router;
import org.zinniatack.core.state.Command;
import org.zinniatack.process.ProcessStatus;
import org.zinniatack.process.Service;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;
import org.zinniatack.wire.Responder;

/**
 * An entry process. It connects to the control processes, accepts connections of agents,
 * and dispatches the requests of callers and trainers to targets.
 */
public final class EntryService implements Service, ProcessStatus, PeerHandler {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long MAXIMUM_REPORT_INTERVAL_MS = 1_000;

	private static final long REPORTS_PER_LEASE = 6;

	private static final long ENFORCE_INTERVAL_MS = 100;

	private static final long USAGE_CHECK_INTERVAL_MS = 250;

	private static final long USAGE_FLUSH_TIMEOUT_MS = 1_000;

	private static final long STOP_POLL_INTERVAL_MS = 20;

	private static final int WIRE_THREADS = 2;

	private final EntrySettings settings;

	private final Ticker ticker = Ticker.systemTicker();

	private final Authority authority;

	private final QueueingDispatcher dispatcher;

	private final PeerNetwork network;

	private final ControlLink control;

	private final UsageMeter usage;

	private final StepRunners steps = new StepRunners();

	private final ControlReports reports;

	private final MeterRegistry metrics;

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "entry-timer"));

	private volatile boolean stopping;

	/**
	 * Creates an entry process that is not started.
	 * @param settings the settings
	 * @param metrics the registry for the metrics of the process
	 */
	public EntryService(EntrySettings settings, MeterRegistry metrics) {
		this.settings = settings;
		this.metrics = metrics;
		this.authority = new Authority(settings.authorityLeaseMs());
		this.dispatcher = new QueueingDispatcher(this::nowMs, this.authority,
				() -> Router.prefixAffinity(settings.failureDomain(), RandomGenerator.getDefault()), this::onFinished);
		this.network = new PeerNetwork(new PeerIdentity("entry", settings.name()),
				ClusterSecret.of(settings.clusterSecret()), this, WIRE_THREADS);
		this.control = new ControlLink(this.network, settings.name(), settings.controlAddresses());
		this.reports = new ControlReports(settings.name(), settings.listenAddress());
		this.usage = new UsageMeter(settings.usageWindowMs(), settings.usageIntervalMs(), System::currentTimeMillis,
				this.control, this::releaseUsage);
	}

	@Override
	public void start() throws ServiceException {
		this.network.listen(this.settings.listenAddress());
		this.control.open();
		scheduleEvery(Math.min(MAXIMUM_REPORT_INTERVAL_MS, this.settings.authorityLeaseMs() / REPORTS_PER_LEASE),
				this::sendReport);
		scheduleEvery(ENFORCE_INTERVAL_MS, this.dispatcher::enforce);
		scheduleEvery(ENFORCE_INTERVAL_MS, this.steps::tick);
		scheduleEvery(USAGE_CHECK_INTERVAL_MS, this.usage::sendDueReports);
		this.metrics.gauge("zinniatack.requests.open", this.dispatcher, QueueingDispatcher::openRequestCount);
		LOGGER.atInfo().log("event=entry_started name=%s", this.settings.name());
	}

	private void scheduleEvery(long intervalMs, Runnable action) {
		this.timer.scheduleWithFixedDelay(() -> {
			try {
				action.run();
			}
			catch (RuntimeException ex) {
				LOGGER.atSevere().withCause(ex).log("event=timer_failed code=%d", ResultCode.INTERNAL.number());
			}
		}, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Waits until the load balancer sends no more requests, then until the open requests
	 * have ended, then until the last usage reports are acknowledged.
	 */
	@Override
	public void stop() {
		this.stopping = true;
		sleep(this.settings.balancerDelayMs());
		this.dispatcher.stopAdmitting();
		long deadlineMs = nowMs() + this.settings.requestTimeoutMs();
		while (this.dispatcher.openRequestCount() > 0 && nowMs() < deadlineMs) {
			sleep(STOP_POLL_INTERVAL_MS);
		}
		this.usage.flush();
		long usageDeadlineMs = nowMs() + USAGE_FLUSH_TIMEOUT_MS;
		while (!this.usage.isEmpty() && nowMs() < usageDeadlineMs) {
			sleep(STOP_POLL_INTERVAL_MS);
		}
		this.timer.shutdownNow();
		this.control.close();
		this.network.stop();
		LOGGER.atInfo().log("event=entry_stopped name=%s", this.settings.name());
	}

	/**
	 * Closes all connections immediately, as a crash would.
	 */
	public void abort() {
		this.stopping = true;
		this.timer.shutdownNow();
		this.control.close();
		this.network.stop();
	}

	private static void sleep(long durationMs) {
		try {
			TimeUnit.MILLISECONDS.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.ticker.nanoTime());
	}

	EntrySettings settings() {
		return this.settings;
	}

	QueueingDispatcher dispatcher() {
		return this.dispatcher;
	}

	ControlLink control() {
		return this.control;
	}

	/** Returns the configuration, or fails if the authority lease has expired. */
	Configuration configuration() throws ServiceException {
		if (!this.authority.isValid(nowMs())) {
			throw ServiceException.retryable(ResultCode.AUTHORITY_EXPIRED, "the authority lease has expired",
					this.authority.retryAfterMs());
		}
		return this.authority.view().configuration();
	}

	StepRunners steps() {
		return this.steps;
	}

	private void onFinished(QueueingDispatcher.FinishedRequest finished) {
		CallerRequest request = finished.request();
		this.usage.count(request.principal().customer(), request.call().routeName(), finished.answer().tokenCount(),
				usageBackupFor(request));
		this.metrics.counter("zinniatack.requests.finished", "route", request.call().routeName()).increment();
		if (finished.clearedSuspect()) {
			this.control.propose(new Command.ClearSuspect(request.call().identity().digest()));
		}
	}

	/**
	 * Returns the connection to the agent that ran the request, or to any other agent if
	 * that one is closed. Without an open connection, messages are dropped.
	 */
	private Consumer<Message> usageBackupFor(CallerRequest request) {
		return Stream.concat(request.lastTarget().stream(), this.dispatcher.targets().stream())
			.map(TargetLink::peer)
			.filter(Peer::isOpen)
			.findFirst()
			.<Consumer<Message>>map((peer) -> peer::send)
			.orElse((note) -> {
			});
	}

	private void releaseUsage(long sequence) {
		Message release = new Message.UsageRelease(this.usage.source(), sequence);
		this.dispatcher.targets().forEach((target) -> target.peer().send(release));
	}

	@Override
	public boolean isReady() {
		return !this.stopping && this.authority.isValid(nowMs());
	}

	@Override
	public Map<String, Object> dump() {
		Authority.View view = this.authority.view();
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("role", "entry");
		dump.put("name", this.settings.name());
		dump.put("revision", view.configuration().revision());
		dump.put("epoch", view.epoch());
		dump.put("authorityLeftMs", Math.max(0, view.leaseEndMs() - nowMs()));
		dump.put("entries", view.entries());
		dump.put("weights", view.weights());
		dump.put("suspects", view.suspects());
		dump.put("quarantined", view.quarantined());
		dump.put("targets", this.dispatcher.targets().stream().map(TargetLink::state).toList());
		dump.put("pools", this.dispatcher.poolLoads());
		dump.put("usageHeld", this.usage.heldCount());
		return dump;
	}

	private void sendReport() {
		this.control.primaryPeer()
			.ifPresent((peer) -> peer.send(this.reports.next(peer, this.authority.view(), this.dispatcher.targets(),
					this.dispatcher.poolLoads())));
	}

	@Override
	public void onNotification(Peer peer, Message message) {
		if (message instanceof Message.Feed feed) {
			this.reports.confirmed(peer, feed.knownTargets());
			onFeed(feed);
		}
		else if (message instanceof Message.Announce announce) {
			this.dispatcher.onAnnounce(peer, announce);
			sendDirectory(peer);
		}
		else if (message instanceof Message.Load load) {
			this.dispatcher.onLoad(peer, load);
		}
		else if (message instanceof Message.TargetCrash crash) {
			this.control.propose(new Command.ReportCrash(crash.crashId(), crash.requestDigests()));
		}
	}

	private void onFeed(Message.Feed feed) {
		Authority.View before = this.authority.view();
		this.authority.accept(feed, nowMs());
		Authority.View after = this.authority.view();
		if (after.configuration().revision() > before.configuration().revision()
				|| after.crashVersion() > before.crashVersion()) {
			this.dispatcher.enforce();
		}
		boolean directoryChanged = after.configuration().revision() != before.configuration().revision()
				|| after.epoch() != before.epoch() || !after.entries().equals(before.entries());
		for (TargetLink target : this.dispatcher.targets()) {
			if (directoryChanged) {
				sendDirectory(target.peer());
			}
			Message.TargetDirective directive = feed.directives().get(target.targetId());
			if (directive != null) {
				target.peer().send(directive);
			}
		}
	}

	/**
	 * Sends the current directory. Synchronized so that no older one follows a newer one.
	 */
	private synchronized void sendDirectory(Peer peer) {
		Authority.View view = this.authority.view();
		peer.send(new Message.Directory(view.configuration().revision(), view.epoch(), view.entries(),
				this.usage.source()));
	}

	@Override
	public void onRequest(Peer peer, Message message, Responder responder) {
		if (!(message instanceof Message.HeldUsage held)) {
			responder.respond(new Message.Failure(ResultCode.FRAME_MALFORMED,
					"unexpected message, an entry accepts only HeldUsage requests", 0), true);
			return;
		}
		this.control.propose(new Command.RecordUsagePart(held.part()))
			.whenComplete((reply,
					failure) -> responder.respond((failure != null)
							? new Message.Failure(ResultCode.NOT_ACCEPTED,
									"the control processes did not confirm the usage part", USAGE_CHECK_INTERVAL_MS)
							: new Message.Proposed(reply), true));
	}

	@Override
	public void onClosed(Peer peer) {
		this.dispatcher.onPeerLost(peer);
	}

}
