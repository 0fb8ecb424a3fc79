package org.zinniatack.control;

import java.net.MalformedURLException;
import java.net.URI;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Ticker;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.membership.MemberChange;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.StepLedger;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.process.Link;
import org.zinniatack.process.ProcessView;
import org.zinniatack.process.Service;
import org.zinniatack.store.ReplicaStore;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.Responder;
import org.zinniatack.wire.Wire;

/**
 * One control process: its replica, its connections to the other control processes, the
 * feed of its entries and the duties of the leader.
 */
public final class ControlService implements Service, ProcessView, PeerHandler {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long JOIN_INTERVAL_MS = 500;

	private static final long CALL_TIMEOUT_MS = 5_000;

	private static final long NO_LEADER_RETRY_MS = 1_000;

	private static final int WIRE_THREADS = 2;

	private final ControlSettings settings;

	private final Wire wire;

	private final Map<String, Link> others = new HashMap<>();

	private final Presence presence = new Presence(UUID.randomUUID().toString());

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "control-timer"));

	private final ReplicaStore store;

	private volatile @Nullable ReplicaDriver driver;

	private @Nullable LeaderDuties duties;

	private volatile @Nullable PresenceExchange exchange;

	private volatile @Nullable EntryFeeds feeds;

	private volatile boolean stopping;

	/**
	 * Returns a process that is not started.
	 * @param settings the settings
	 * @throws ServiceException if the data folder cannot be opened
	 */
	public ControlService(ControlSettings settings) throws ServiceException {
		this.settings = settings;
		this.store = ReplicaStore.open(Path.of(settings.dataFolder()), settings.name());
		this.wire = new Wire(new PeerIdentity("control", settings.name()), ClusterSecret.of(settings.clusterSecret()),
				this, WIRE_THREADS);
		settings.members().forEach((name, address) -> {
			if (!name.equals(settings.name())) {
				this.others.put(name, new Link(this.wire, address, (peer) -> {
				}));
			}
		});
	}

	@Override
	public void start() throws ServiceException {
		this.wire.listen(this.settings.listenAddress());
		this.others.values().forEach(Link::open);
		try {
			new FormationDriver(this.store, this.others).awaitFormation();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw ServiceException.of(ResultCode.SHUTTING_DOWN, "interrupted while forming");
		}
		ReplicaDriver started = new ReplicaDriver(this.store, Ticker.systemTicker(), this::transport, this::onChange);
		started.start();
		this.duties = new LeaderDuties(started, this.presence, platform(), this.settings, System::currentTimeMillis);
		PresenceExchange passing = new PresenceExchange(this.store.replicaId(), started, this.presence, this.duties,
				this::leaderLink);
		this.exchange = passing;
		this.feeds = new EntryFeeds(started, this.presence, passing);
		this.driver = started;
		this.duties.start();
		passing.start();
		this.timer.scheduleWithFixedDelay(this::askToJoin, JOIN_INTERVAL_MS, JOIN_INTERVAL_MS, TimeUnit.MILLISECONDS);
		LOGGER.atInfo().log("event=control_started replica=%s", this.store.replicaId());
	}

	private Platform platform() throws ServiceException {
		try {
			return this.settings.platformUrl().isEmpty() ? Platform.none()
					: new HttpPlatform(URI.create(this.settings.platformUrl()));
		}
		catch (MalformedURLException ex) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID, "platformUrl must be a URL");
		}
	}

	@Override
	public void stop() {
		this.stopping = true;
		this.timer.shutdownNow();
		PresenceExchange passing = this.exchange;
		if (passing != null) {
			passing.stop();
		}
		if (this.duties != null) {
			this.duties.stop();
		}
		if (this.driver != null) {
			this.driver.stop();
		}
		this.others.values().forEach(Link::close);
		this.wire.stop();
		LOGGER.atInfo().log("event=control_stopped replica=%s", this.store.replicaId());
	}

	@Override
	public boolean isReady() {
		ReplicaDriver running = this.driver;
		return running != null && !this.stopping && running.status().writable()
				&& !running.status().leaderId().isEmpty();
	}

	@Override
	public Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("role", "control");
		dump.put("name", this.settings.name());
		ReplicaDriver running = this.driver;
		if (running != null) {
			dump.put("replica", running.status());
			dump.put("entries", this.presence.entries(running.nowMs()).values());
			dump.put("targets", this.presence.targets(running.nowMs()).values());
			dump.put("state", running.read(this::summary).join());
		}
		return dump;
	}

	private Map<String, Object> summary(ControlState state) {
		Map<String, Object> summary = new LinkedHashMap<>();
		summary.put("recordRevision", state.records().revision());
		summary.put("recordCount", state.records().records().size());
		summary.put("weights", state.weights());
		summary.put("orders", state.orders());
		summary.put("draining", state.draining());
		summary.put("closedWindows", state.usage().closedWindows());
		summary.put("suspects", state.crashes().suspects());
		summary.put("quarantined", state.crashes().quarantined());
		summary.put("steps", state.steps().images().size());
		return summary;
	}

	/**
	 * Carries out a command, here or at the leader.
	 * @param command the command
	 * @return the reply of the replicated state; it fails with a {@link ServiceException}
	 */
	public CompletableFuture<Reply> propose(Command command) {
		ReplicaDriver running = requireDriver();
		if (running.status().isLeader()) {
			return running.propose(command);
		}
		return leaderLink()
			.map((peer) -> peer.call(new Message.Propose(command, true), CALL_TIMEOUT_MS)
				.thenApply((answer) -> ((Message.Proposed) answer).reply()))
			.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
	}

	/**
	 * Reads the replicated state as of now.
	 * @param <T> the type of the result
	 * @param reader what to read
	 * @return the result; it fails with a {@link ServiceException} if no leader answers
	 */
	public <T> CompletableFuture<T> readCurrent(Function<ControlState, T> reader) {
		ReplicaDriver running = requireDriver();
		return readIndex().thenCompose(running::awaitApplied).thenCompose((applied) -> running.read(reader));
	}

	private CompletableFuture<Long> readIndex() {
		ReplicaDriver running = requireDriver();
		ReplicaStatus status = running.status();
		if (status.holdsLease(running.nowMs())) {
			return CompletableFuture.completedFuture(status.commitIndex());
		}
		return leaderLink()
			.map((peer) -> peer.call(new Message.ReadIndex(), CALL_TIMEOUT_MS)
				.thenApply((answer) -> ((Message.ReadIndexAt) answer).index()))
			.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
	}

	private Optional<Peer> leaderLink() {
		String leaderId = requireDriver().status().leaderId();
		return leaderId.isEmpty() ? Optional.empty()
				: Optional.ofNullable(this.others.get(MemberChange.nameOf(leaderId))).flatMap(Link::peer);
	}

	private static ServiceException noLeader() {
		return ServiceException.retryable(ResultCode.NOT_LEADER, "no leader is known", NO_LEADER_RETRY_MS);
	}

	private ReplicaDriver requireDriver() {
		ReplicaDriver running = this.driver;
		if (running == null) {
			throw new IllegalStateException("not started");
		}
		return running;
	}

	private PresenceExchange requireExchange() {
		PresenceExchange passing = this.exchange;
		if (passing == null) {
			throw new IllegalStateException("not started");
		}
		return passing;
	}

	/**
	 * Tells what is in force where.
	 * @return the status for operators; it fails with a {@link ServiceException} if no
	 * leader answers
	 */
	public CompletableFuture<Map<String, Object>> status() {
		ReplicaDriver running = requireDriver();
		CompletableFuture<Message.PresenceReport> present = running.status().isLeader()
				? CompletableFuture.completedFuture(this.presence.whole(this.store.replicaId(), running.nowMs()))
				: leaderLink()
					.map((peer) -> peer.call(new Message.PresenceRequest(), CALL_TIMEOUT_MS)
						.thenApply(Message.PresenceReport.class::cast))
					.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
		return present.thenCombine(
				readCurrent((state) -> new Decided(state.records().revision(), state.crashes().quarantined())),
				this::statusOf);
	}

	private Map<String, Object> statusOf(Message.PresenceReport present, Decided decided) {
		long revision = decided.revision();
		ReplicaStatus replica = requireDriver().status();
		Collection<Message.EntryState> entries = present.entries().changed().values();
		Collection<Message.TargetState> targets = present.targets().changed().values();
		Map<String, Object> status = new LinkedHashMap<>();
		status.put("revision", revision);
		status.put("leader", replica.leaderId());
		status.put("term", replica.term());
		status.put("voters", replica.membership().voters());
		status.put("learners", replica.membership().learners());
		status.put("entries", entries.size());
		status.put("entriesInForce", entries.stream().filter((entry) -> entry.revision() >= revision).count());
		status.put("agents", targets.size());
		status.put("agentsInForce",
				entries.stream()
					.filter((entry) -> entry.agentRevision() >= revision)
					.mapToInt(Message.EntryState::agentCount)
					.sum());
		status.put("pools", present.pools());
		status.put("targets", targets);
		status.put("quarantined", decided.quarantined());
		return status;
	}

	private void transport(ConsensusMessage message) {
		Optional.ofNullable(this.others.get(MemberChange.nameOf(message.to())))
			.flatMap(Link::peer)
			.ifPresent((peer) -> peer.send(new Message.Consensus(message)));
	}

	/** Asks to become a member, on a disk that was lost or is new. */
	private void askToJoin() {
		try {
			if (!isSettledMember(requireDriver().status())) {
				Message.JoinRequest request = new Message.JoinRequest(this.store.replicaId());
				this.others.values().forEach((link) -> link.peer().ifPresent((peer) -> peer.send(request)));
			}
		}
		catch (RuntimeException ex) {
			LOGGER.atWarning().withCause(ex).log("event=join_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	private boolean isSettledMember(ReplicaStatus status) {
		return status.membership()
			.voters()
			.stream()
			.filter((id) -> MemberChange.nameOf(id).equals(this.settings.name()))
			.toList()
			.equals(List.of(this.store.replicaId()));
	}

	private void onChange(ControlState state) {
		EntryFeeds started = this.feeds;
		if (started != null) {
			started.onChange(state);
		}
	}

	@Override
	public void onNotice(Peer peer, Message message) {
		ReplicaDriver running = this.driver;
		if (running == null) {
			return;
		}
		if (message instanceof Message.Consensus consensus) {
			running.receive(consensus.message());
		}
		else if (message instanceof Message.JoinRequest join) {
			running.join(join.replicaId());
		}
		else if (message instanceof Message.EntryReport report) {
			EntryFeeds started = this.feeds;
			if (started != null) {
				started.onReport(peer, report);
			}
		}
	}

	@Override
	public void onClosed(Peer peer) {
		EntryFeeds started = this.feeds;
		if (started != null) {
			started.onClosed(peer);
		}
	}

	@Override
	public void onRequest(Peer peer, Message message, Responder responder) {
		if (message instanceof Message.FormationProbe) {
			responder.respond(new Message.FormationState(this.store.replicaId(), this.store.isFormed(), List.of()),
					true);
			return;
		}
		if (this.driver == null) {
			respondFailure(responder, noLeader());
			return;
		}
		answer(message).whenComplete((answer, failure) -> {
			if (failure == null) {
				responder.respond(answer, true);
			}
			else {
				respondFailure(responder, failure);
			}
		});
	}

	private CompletableFuture<Message> answer(Message message) {
		ReplicaDriver running = requireDriver();
		if (message instanceof Message.Propose propose) {
			CompletableFuture<Reply> reply = propose.forwarded() ? running.propose(propose.command())
					: propose(propose.command());
			return reply.thenApply(Message.Proposed::new);
		}
		if (message instanceof Message.ReadIndex) {
			ReplicaStatus status = running.status();
			return status.holdsLease(running.nowMs())
					? CompletableFuture.completedFuture(new Message.ReadIndexAt(status.commitIndex()))
					: CompletableFuture.failedFuture(noLeader());
		}
		if (message instanceof Message.FetchBatch fetch) {
			return batch(fetch).thenApply(Message.Batch::new);
		}
		if (message instanceof Message.PresenceRequest) {
			return CompletableFuture.completedFuture(this.presence.whole(this.store.replicaId(), running.nowMs()));
		}
		if (message instanceof Message.PresenceReport report) {
			return answerPresence(report);
		}
		return CompletableFuture.failedFuture(ServiceException.of(ResultCode.FRAME_MALFORMED, "unexpected message"));
	}

	private CompletableFuture<Message> answerPresence(Message.PresenceReport report) {
		try {
			return CompletableFuture.completedFuture(requireExchange().answer(report));
		}
		catch (ServiceException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<List<Sample>> batch(Message.FetchBatch fetch) {
		return readCurrent((state) -> {
			try {
				return CompletableFuture
					.completedFuture(state.steps().batch(new StepLedger.StepId(fetch.customer(), fetch.step())));
			}
			catch (ServiceException ex) {
				return CompletableFuture.<List<Sample>>failedFuture(ex);
			}
		}).thenCompose((batch) -> batch);
	}

	private static void respondFailure(Responder responder, Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		ServiceException known = (cause instanceof ServiceException exception) ? exception
				: ServiceException.of(ResultCode.INTERNAL, String.valueOf(cause));
		responder.respond(new Message.Failure(known.code(), String.valueOf(known.getMessage()), known.retryAfterMs()),
				true);
	}

	/**
	 * What the status takes from the replicated state.
	 *
	 * @param revision the configuration revision
	 * @param quarantined the digests of quarantined requests
	 */
	private record Decided(long revision, List<String> quarantined) {
	}

}
