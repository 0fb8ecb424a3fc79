package org.zinniatack.agent;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.process.ProcessStatus;
import org.zinniatack.process.ReconnectingLink;
import org.zinniatack.process.Service;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;
import org.zinniatack.wire.Responder;

/**
 * An agent process. It connects to entries and runs their requests on the target beside
 * it.
 */
public final class AgentService implements Service, ProcessStatus, PeerHandler {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long STOP_POLL_INTERVAL_MS = 20;

	private static final long ENTRY_LOSS_DELAY_MS = 5_000;

	private final AgentSettings settings;

	private final Target target;

	private final PeerNetwork network;

	private final RequestAdmission admission;

	private final EpochFence fence = new EpochFence();

	private final String incarnation = UUID.randomUUID().toString();

	private final Map<String, ReconnectingLink> links = new HashMap<>();

	private final HeldUsage heldUsage = new HeldUsage(this.incarnation, ENTRY_LOSS_DELAY_MS);

	private final KnownEntries knownEntries = new KnownEntries();

	private final TargetHealth health = new TargetHealth();

	private final AtomicBoolean loading = new AtomicBoolean();

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "agent-timer"));

	private volatile long weightVersion;

	private volatile String softwareVersion = "";

	private volatile long revision;

	private volatile boolean stopping;

	/**
	 * Creates an agent process that is not started.
	 * @param settings the settings
	 * @throws ServiceException if the target's URL is invalid
	 */
	public AgentService(AgentSettings settings) throws ServiceException {
		this.settings = settings;
		this.target = new HttpTarget(settings.targetUrl(), settings.isEngine());
		this.admission = new RequestAdmission(settings.slotCount());
		this.network = new PeerNetwork(new PeerIdentity("agent", settings.targetId()),
				ClusterSecret.of(settings.clusterSecret()), this, 1);
	}

	@Override
	public void start() {
		connect(Set.copyOf(this.settings.entryAddresses()));
		this.timer.scheduleWithFixedDelay(this::checkTarget, 0, this.settings.loadIntervalMs(), TimeUnit.MILLISECONDS);
		LOGGER.atInfo().log("event=agent_started target=%s pool=%s", this.settings.targetId(), this.settings.pool());
	}

	/**
	 * Rejects new requests, waits until the running ones have ended and until the usage
	 * held for disconnected entries is reported or released, then closes the connections.
	 * The wait is limited by the drain timeout.
	 */
	@Override
	public void stop() {
		this.stopping = true;
		this.admission.setLeaving(true);
		sendLoad();
		long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.drainTimeoutMs());
		while ((this.admission.runningCount() > 0 || this.heldUsage.hasDisconnectedSource())
				&& System.nanoTime() < deadlineNs) {
			sleep();
		}
		this.timer.shutdownNow();
		synchronized (this) {
			this.links.values().forEach(ReconnectingLink::close);
		}
		this.network.stop();
		LOGGER.atInfo().log("event=agent_stopped target=%s", this.settings.targetId());
	}

	/**
	 * Closes all connections immediately, as a crash would.
	 */
	public synchronized void abort() {
		this.timer.shutdownNow();
		this.links.values().forEach(ReconnectingLink::close);
		this.network.stop();
	}

	private static void sleep() {
		try {
			TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public boolean isReady() {
		return this.health.isHealthy() && !this.stopping && !this.admission.isLeaving();
	}

	@Override
	public Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("role", "agent");
		dump.put("targetId", this.settings.targetId());
		dump.put("pool", this.settings.pool());
		dump.put("failureDomain", this.settings.failureDomain());
		dump.put("load", load());
		dump.put("usageHeld", this.heldUsage.reportCount());
		dump.put("epoch", this.fence.newestEpoch());
		synchronized (this) {
			dump.put("entries", List.copyOf(this.links.keySet()));
		}
		return dump;
	}

	/** Opens connections to the given entries and closes those to all others. */
	private synchronized void connect(Set<String> addresses) {
		this.links.entrySet().removeIf((link) -> {
			boolean dropped = !addresses.contains(link.getKey());
			if (dropped) {
				link.getValue().close();
			}
			return dropped;
		});
		for (String address : addresses) {
			this.links.computeIfAbsent(address, (absent) -> {
				ReconnectingLink link = new ReconnectingLink(this.network, address, this::announce);
				link.open();
				return link;
			});
		}
	}

	private void announce(Peer peer) {
		peer.send(new Message.Announce(this.settings.targetId(), this.incarnation, this.settings.pool(),
				this.settings.failureDomain(), this.settings.slotCount()));
		peer.send(load());
	}

	private Message.Load load() {
		return new Message.Load(this.admission.runningCount(), this.weightVersion, this.admission.isLeaving(),
				this.health.isHealthy(), this.health.crashCount(), this.revision, this.softwareVersion);
	}

	private void checkTarget() {
		this.target.state().whenComplete(this::onState);
		sendLoad();
		this.heldUsage.reportDuePart(anyEntry(), nowMs());
	}

	private synchronized Optional<Peer> anyEntry() {
		return this.links.values().stream().flatMap((link) -> link.peer().stream()).findAny();
	}

	private static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private void onState(Target.@Nullable State state, @Nullable Throwable failure) {
		if (state != null) {
			boolean stateChanged = this.health.recordAnswer() || this.weightVersion != state.weightVersion()
					|| !this.softwareVersion.equals(state.softwareVersion());
			this.weightVersion = state.weightVersion();
			this.softwareVersion = state.softwareVersion();
			if (stateChanged) {
				sendLoad();
			}
		}
		else if (this.health.recordFailedCheck()) {
			sendLoad();
			LOGGER.atWarning().log("event=target_unhealthy target=%s", this.settings.targetId());
		}
	}

	private synchronized void sendLoad() {
		Message.Load load = load();
		this.links.values().forEach((link) -> link.peer().ifPresent((peer) -> peer.send(load)));
	}

	@Override
	public void onNotification(Peer peer, Message message) {
		if (message instanceof Message.Directory directory) {
			this.fence.observe(directory.epoch());
			this.revision = Math.max(this.revision, directory.revision());
			this.knownEntries.put(peer.identity().nodeId(), directory.entries());
			this.heldUsage.connected(peer, directory.usageSource());
			connectToAssigned(this.knownEntries.all());
			peer.send(load());
		}
		else if (message instanceof Message.TargetDirective directive) {
			execute(directive);
		}
		else if (message instanceof Message.UsageNote note) {
			this.heldUsage.note(note);
		}
		else if (message instanceof Message.UsageRelease release) {
			this.heldUsage.release(release);
		}
	}

	@Override
	public void onClosed(Peer peer) {
		this.knownEntries.remove(peer.identity().nodeId());
		this.heldUsage.disconnected(peer, nowMs());
	}

	private void connectToAssigned(Map<String, String> entries) {
		if (!entries.isEmpty()) {
			List<String> chosen = Hashing.rendezvous(this.settings.targetId(), entries.keySet(),
					this.settings.entryCount());
			connect(chosen.stream().map(entries::get).collect(Collectors.toSet()));
		}
	}

	private void execute(Message.TargetDirective directive) {
		try {
			this.fence.require(directive.epoch());
			if (!this.stopping) {
				this.admission.setLeaving(directive.leaving());
			}
			boolean newerWeights = directive.weightVersion() > this.weightVersion;
			if (newerWeights && this.loading.compareAndSet(false, true)) {
				this.target.loadWeights(directive.weightVersion(), directive.epoch())
					.whenComplete((done, failure) -> onLoaded(directive, failure));
			}
		}
		catch (ServiceException ex) {
			LOGGER.atWarning().log("event=order_refused code=%d detail=\"%s\"", ex.code().number(), ex.getMessage());
		}
	}

	private void onLoaded(Message.TargetDirective directive, @Nullable Throwable failure) {
		this.loading.set(false);
		if (failure != null) {
			LOGGER.atWarning()
				.log("event=weights_failed target=%s version=%d detail=\"%s\"", this.settings.targetId(),
						directive.weightVersion(), failure.getMessage());
		}
		this.target.state().whenComplete(this::onState);
	}

	@Override
	public void onRequest(Peer peer, Message message, Responder responder) {
		if (!(message instanceof Message.Run run)) {
			responder.respond(new Message.Failure(ResultCode.FRAME_MALFORMED,
					"unexpected message, an agent accepts only Run requests", 0), true);
			return;
		}
		try {
			this.admission.admit(run.requestId(), run.requestDigest(), run.alone());
		}
		catch (ServiceException ex) {
			responder.respond(new Message.Failure(ex.code(), String.valueOf(ex.getMessage()), ex.retryAfterMs()), true);
			return;
		}
		Runnable cancel = this.target.run(run, new AnswerForwarder(run, responder));
		responder.onCancel(() -> {
			cancel.run();
			this.admission.finish(run.requestId());
		});
	}

	private void onFailed(Message.Run run, Responder responder, Throwable failure, boolean reached) {
		if (failure instanceof ServiceException known) {
			this.admission.finish(run.requestId());
			responder.respond(new Message.Failure(known.code(), String.valueOf(known.getMessage()), 0), true);
			return;
		}
		if (!reached) {
			this.admission.finish(run.requestId());
			responder.respond(new Message.Failure(ResultCode.TARGET_BUSY, "the agent cannot connect to the target", 0),
					true);
			return;
		}
		this.target.state().whenComplete((state, stateFailure) -> {
			if (state == null) {
				onCrash();
			}
			this.admission.finish(run.requestId());
			ResultCode code = (state != null) ? ResultCode.OUTCOME_UNKNOWN : ResultCode.TARGET_CRASHED;
			responder.respond(new Message.Failure(code, "the connection to the target was lost", 0), true);
		});
	}

	/**
	 * Reports a crash once to all connected entries, with all requests that were running.
	 */
	private synchronized void onCrash() {
		if (this.health.recordCrash()) {
			String crashId = this.settings.targetId() + '/' + this.incarnation + '/' + this.health.crashCount();
			Message.TargetCrash crash = new Message.TargetCrash(crashId, List.copyOf(this.admission.runningDigests()));
			this.links.values().forEach((link) -> link.peer().ifPresent((peer) -> peer.send(crash)));
			sendLoad();
			LOGGER.atWarning().log("event=target_crashed crash=%s running=%d", crashId, crash.requestDigests().size());
		}
	}

	/** Forwards an answer to the entry that sent the request. */
	private final class AnswerForwarder implements Target.Receiver {

		private final Message.Run run;

		private final Responder responder;

		AnswerForwarder(Message.Run run, Responder responder) {
			this.run = run;
			this.responder = responder;
		}

		@Override
		public void head(int httpStatus, String contentType) {
			this.responder.respond(new Message.AnswerHead(httpStatus, contentType), false);
		}

		@Override
		public CompletableFuture<Void> chunk(byte[] data) {
			return this.responder.respond(new Message.AnswerChunk(data), false);
		}

		@Override
		public void end() {
			AgentService.this.admission.finish(this.run.requestId());
			this.responder.respond(new Message.AnswerEnd("", List.of()), true);
		}

		@Override
		public void failed(Throwable failure, boolean reached) {
			onFailed(this.run, this.responder, failure, reached);
		}

	}

}
