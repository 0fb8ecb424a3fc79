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
 * One entry process: its connections to control and to agents, and the requests that it
 * holds.
 */
public final class EntryService implements Service, ProcessStatus, PeerHandler {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long LONGEST_REPORT_INTERVAL_MS = 1_000;

	private static final long REPORTS_A_LEASE = 6;

	private static final long ENFORCE_INTERVAL_MS = 100;

	private static final long USAGE_CHECK_MS = 250;

	private static final long LAST_USAGE_WAIT_MS = 1_000;

	private static final long STOP_CHECK_MS = 20;

	private static final int WIRE_THREADS = 2;

	private final EntrySettings settings;

	private final Ticker ticker = Ticker.systemTicker();

	private final Authority authority;

	private final Dispatcher dispatcher;

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
	 * Returns a process that is not started.
	 * @param settings the settings
	 * @param metrics where to count
	 */
	public EntryService(EntrySettings settings, MeterRegistry metrics) {
		this.settings = settings;
		this.metrics = metrics;
		this.authority = new Authority(settings.authorityLeaseMs());
		this.dispatcher = new Dispatcher(this::nowMs, this.authority,
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
		every(Math.min(LONGEST_REPORT_INTERVAL_MS, this.settings.authorityLeaseMs() / REPORTS_A_LEASE), this::report);
		every(ENFORCE_INTERVAL_MS, this.dispatcher::enforce);
		every(ENFORCE_INTERVAL_MS, this.steps::tend);
		every(USAGE_CHECK_MS, this.usage::tend);
		this.metrics.gauge("zinniatack.requests.open", this.dispatcher, Dispatcher::openRequestCount);
		LOGGER.atInfo().log("event=entry_started name=%s", this.settings.name());
	}

	private void every(long intervalMs, Runnable action) {
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
	 * Waits for the balancer, then for the last answer, then for the last usage report.
	 */
	@Override
	public void stop() {
		this.stopping = true;
		sleep(this.settings.balancerDelayMs());
		this.dispatcher.stopAdmitting();
		long deadlineMs = nowMs() + this.settings.requestTimeoutMs();
		while (this.dispatcher.openRequestCount() > 0 && nowMs() < deadlineMs) {
			sleep(STOP_CHECK_MS);
		}
		this.usage.flush();
		long usageDeadlineMs = nowMs() + LAST_USAGE_WAIT_MS;
		while (!this.usage.isEmpty() && nowMs() < usageDeadlineMs) {
			sleep(STOP_CHECK_MS);
		}
		this.timer.shutdownNow();
		this.control.close();
		this.network.stop();
		LOGGER.atInfo().log("event=entry_stopped name=%s", this.settings.name());
	}

	/**
	 * Closes all connections at once, as a crash would.
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

	Dispatcher dispatcher() {
		return this.dispatcher;
	}

	ControlLink control() {
		return this.control;
	}

	/** Returns the records in force, while this process may act on them. */
	Configuration configuration() throws ServiceException {
		if (!this.authority.isValid(nowMs())) {
			throw ServiceException.retryable(ResultCode.AUTHORITY_EXPIRED, "no word from control",
					this.authority.retryAfterMs());
		}
		return this.authority.view().configuration();
	}

	StepRunners steps() {
		return this.steps;
	}

	private void onFinished(Dispatcher.FinishedRequest finished) {
		CallerRequest request = finished.request();
		this.usage.count(request.principal().customer(), request.call().routeName(), finished.answer().tokenCount(),
				usageBackupFor(request));
		this.metrics.counter("zinniatack.requests.finished", "route", request.call().routeName()).increment();
		if (finished.clearedSuspect()) {
			this.control.propose(new Command.ClearSuspect(request.call().digest().hex()));
		}
	}

	/** Returns the agent that ran a request, or any other if it is gone. */
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

	private void report() {
		this.control.current()
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
		boolean news = after.configuration().revision() != before.configuration().revision()
				|| after.epoch() != before.epoch() || !after.entries().equals(before.entries());
		for (TargetLink target : this.dispatcher.targets()) {
			if (news) {
				sendDirectory(target.peer());
			}
			Message.TargetDirective directive = feed.directives().get(target.targetId());
			if (directive != null) {
				target.peer().send(directive);
			}
		}
	}

	/** Sends what is known now; in turns, so that no older list follows a newer one. */
	private synchronized void sendDirectory(Peer peer) {
		Authority.View view = this.authority.view();
		peer.send(new Message.Directory(view.configuration().revision(), view.epoch(), view.entries(),
				this.usage.source()));
	}

	@Override
	public void onRequest(Peer peer, Message message, Responder responder) {
		if (!(message instanceof Message.HeldUsage held)) {
			responder.respond(new Message.Failure(ResultCode.FRAME_MALFORMED, "unexpected message", 0), true);
			return;
		}
		this.control.propose(new Command.RecordUsagePart(held.part()))
			.whenComplete((reply,
					failure) -> responder.respond((failure != null)
							? new Message.Failure(ResultCode.NOT_ACCEPTED, "control gave no answer", USAGE_CHECK_MS)
							: new Message.Proposed(reply), true));
	}

	@Override
	public void onClosed(Peer peer) {
		this.dispatcher.onPeerLost(peer);
	}

}
