package org.zinniatack.control;

import java.net.MalformedURLException;
import java.net.URI;
import java.nio.file.Path;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.Ticker;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.directory.Evacuations;
import org.zinniatack.core.directory.LeftTarget;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.duty.DutyTurns;
import org.zinniatack.core.job.JobSize;
import org.zinniatack.core.membership.MemberChange;
import org.zinniatack.core.pace.HeldPermits;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.sample.Sample;
import org.zinniatack.core.sample.StepLedger;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.state.StateSize;
import org.zinniatack.core.stream.RecordedSoftware;
import org.zinniatack.core.stream.SoftwareHistory;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.ProcessStatus;
import org.zinniatack.process.Service;
import org.zinniatack.store.ReplicaStore;
import org.zinniatack.wire.ClusterSecret;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerHandler;
import org.zinniatack.wire.PeerIdentity;
import org.zinniatack.wire.PeerNetwork;
import org.zinniatack.wire.Responder;

/**
 * Runs a control process: a replica of the system's state, the connections to the other
 * control processes, the feeds to entries and, on the leader, orders, weight rollouts and
 * usage reports.
 */
public final class ControlService implements Service, ProcessStatus, PeerHandler {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long MEMBERSHIP_INTERVAL_MS = 500;

	private static final long DUTY_CHECK_INTERVAL_MS = 50;

	private static final long SOFTWARE_CHECK_INTERVAL_MS = 50;

	private static final long CALL_TIMEOUT_MS = 5_000;

	private static final long UNDECIDED_RETRY_MS = 500;

	private static final long NO_LEADER_RETRY_MS = 1_000;

	/** Systems with agents have no jobs. */
	private static final long NO_JOBS_RETENTION_MS = 0;

	private static final int NETWORK_THREADS = 2;

	private final ControlMembers members;

	private final String listenAddress;

	private final DutySettings dutySettings;

	private final DomainSettings domainSettings;

	private final Platform platform;

	private final PeerNetwork network;

	private final MemberLinks memberLinks;

	private final DirectoryFeeds directoryFeeds;

	private final ColdTargets coldTargets;

	private final StreamRecords streamRecords = new StreamRecords(ControlService::clockMs);

	/** The software versions in the applied state. */
	private volatile SoftwareHistory softwareHistory = new SoftwareHistory(List.of());

	private final Presence presence = new Presence(UUID.randomUUID().toString());

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "control-timer"));

	private final ExecutorService tableEncoder = Executors
		.newSingleThreadExecutor((task) -> new Thread(task, "table-encoder"));

	private final ProcessEnd processEnd = ProcessEnd.halt();

	private final ReadIndexes readIndexes = new ReadIndexes(this::lookUpReadIndex, ControlService::clockMs, this.timer);

	private final JobReads jobReads = new JobReads(this, this.timer);

	private final ReplicaStore store;

	private final long idleSinceMs;

	private final StateBudget budget;

	/** The port for the other processes, 0 before it listens. */
	private int port;

	private volatile @Nullable ReplicaDriver driver;

	private volatile @Nullable DutyGate dutyGate;

	private @Nullable LeaderDuties duties;

	private volatile @Nullable PresenceExchange exchange;

	private volatile @Nullable EntryFeeds feeds;

	private final List<Consumer<ControlState>> stateListeners = new CopyOnWriteArrayList<>();

	private volatile boolean stopping;

	/**
	 * Creates a process that has not started.
	 * @param settings the settings
	 * @throws ServiceException if the data folder cannot be opened
	 */
	public ControlService(ControlSettings settings) throws ServiceException {
		this(ControlMembers.named(settings.name(), settings.members()), settings.name(), Path.of(settings.dataFolder()),
				settings.listenAddress(), settings.clusterSecret(),
				new DutySettings(settings.failureDomains(), settings.usageWindowMs(), settings.usageGraceMs(),
						settings.shrinkDelayMs(), settings.dutyLeaseMs()),
				createPlatform(settings.platformUrl()), NO_JOBS_RETENTION_MS, DomainSettings.none(), clockMs(), 1, 0);
	}

	/**
	 * Creates a process that has not started and finds the others through seed addresses.
	 * @param settings the settings
	 * @param platform the platform's interfaces for the leader
	 * @throws ServiceException if the data folder cannot be opened
	 */
	public ControlService(SeededControlSettings settings, Platform platform) throws ServiceException {
		this(settings, platform, clockMs());
	}

	/**
	 * Creates a process that has not started and finds the others through seed addresses.
	 * @param settings the settings
	 * @param platform the platform's interfaces for the leader
	 * @param idleSinceMs a time of the system ticker since which no replica has run on
	 * the data folder, in milliseconds; the replica votes once an election timeout has
	 * passed since then
	 * @throws ServiceException if the data folder cannot be opened
	 */
	public ControlService(SeededControlSettings settings, Platform platform, long idleSinceMs) throws ServiceException {
		this(ControlMembers.seeded(settings.listenAddress(), settings.clusterAddresses(), settings.firstStart(),
				settings.voterCount()), settings.name(), Path.of(settings.dataFolder()), settings.listenAddress(),
				settings.clusterSecret(),
				new DutySettings(List.of(), settings.usageWindowMs(), settings.usageGraceMs(), 0,
						settings.dutyLeaseMs()),
				platform, settings.jobRetentionMs(), new DomainSettings(settings.failureDomain(),
						settings.failureDomains(), settings.toleratedDomainLosses()),
				idleSinceMs, settings.coldOverage(), settings.coldSlack());
	}

	private ControlService(ControlMembers members, String operatorsName, Path dataFolder, String listenAddress,
			String clusterSecret, DutySettings dutySettings, Platform platform, long jobRetentionMs,
			DomainSettings domainSettings, long idleSinceMs, double coldOverage, double coldSlack)
			throws ServiceException {
		this.idleSinceMs = idleSinceMs;
		this.budget = StateBudget.ofThisProcess(jobRetentionMs);
		this.members = members;
		this.listenAddress = listenAddress;
		this.dutySettings = dutySettings;
		this.domainSettings = domainSettings;
		this.platform = platform;
		this.store = ReplicaStore.open(dataFolder, members.ownName());
		// Before anything that takes time, since a kill may come in the first second.
		rememberFounders(this.store);
		this.network = new PeerNetwork(new PeerIdentity("control", members.ownName()), ClusterSecret.of(clusterSecret),
				this, NETWORK_THREADS);
		this.directoryFeeds = new DirectoryFeeds(this::controlAddresses, members.ownName(), operatorsName,
				domainSettings.own(), () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), this.tableEncoder);
		this.coldTargets = new ColdTargets(this.directoryFeeds, this::leaseTerm, ControlService::clockMs, coldOverage,
				coldSlack);
		this.memberLinks = new MemberLinks(this.network, members, this.directoryFeeds::subscribeTo);
	}

	/** Closes the store if it fails, since the start may be tried again. */
	private void rememberFounders(ReplicaStore opened) throws ServiceException {
		Set<String> founders = this.members.foundersToRemember();
		try {
			if (!opened.isInitialized() && !founders.isEmpty() && !opened.founders().equals(founders)) {
				opened.rememberFounders(founders);
			}
		}
		catch (ServiceException ex) {
			opened.close();
			throw ex;
		}
	}

	/**
	 * Returns the time of the system ticker.
	 * @return the monotonic time, in milliseconds
	 */
	public static long clockMs() {
		return TimeUnit.NANOSECONDS.toMillis(Ticker.systemTicker().nanoTime());
	}

	/**
	 * Listens for the other processes, unless it does already; a start includes it.
	 * @return the port
	 * @throws ServiceException with ADDRESS_IN_USE or SETTINGS_INVALID
	 */
	public int listen() throws ServiceException {
		if (this.port == 0) {
			this.port = this.network.listen(this.listenAddress);
		}
		return this.port;
	}

	@Override
	public void start() throws ServiceException {
		listen();
		this.memberLinks.update(Membership.empty());
		try {
			new FormationDriver(this.store, this.memberLinks.links(), this.members.isFounder(this.store.founders()),
					Ticker.systemTicker())
				.awaitInitialization();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw ServiceException.of(ResultCode.SHUTTING_DOWN,
					"interrupted while waiting for the system to be formed");
		}
		LOGGER.atInfo()
			.log("event=state_budget bytes=%d heap_bytes=%d table_bytes=%d table_routes=%d", this.budget.stateBytes(),
					Runtime.getRuntime().maxMemory(), this.budget.tableBytes(), this.budget.tableRoutes());
		long replicaStartedMs = clockMs();
		PersistentState persistent = this.store.load();
		// Voters that are not seeds are known only from the disk. Without links to them
		// the first elections after a restart of all fail, and each failure delays the
		// next.
		this.memberLinks.update(persistent.membership());
		ReplicaDriver started = new ReplicaDriver(this.store, persistent, Ticker.systemTicker(), this.idleSinceMs,
				this.domainSettings.voterLimits(this.members.maximumVoters(), this.directoryFeeds::domainsByAddress),
				this::sendConsensusMessage, this::onStateChanged, SnapshotPolicy.proportional(), this.budget,
				this.processEnd);
		started.start();
		DutyGate gate = new DutyGate(started, new DutyTurns(this.members.ownName(), this.dutySettings.dutyLeaseMs()));
		this.dutyGate = gate;
		this.duties = new LeaderDuties(started, gate, this.presence, this.platform, this.dutySettings,
				System::currentTimeMillis, this.processEnd);
		PresenceExchange runningExchange = new PresenceExchange(this.store.replicaId(), started, this.presence,
				this.duties, this::leaderLink, this.processEnd);
		this.exchange = runningExchange;
		this.feeds = new EntryFeeds(started, this.presence, runningExchange);
		this.driver = started;
		this.duties.start();
		runningExchange.start();
		this.timer.scheduleWithFixedDelay(this.processEnd.guard("membership", this::maintainMembership),
				MEMBERSHIP_INTERVAL_MS, MEMBERSHIP_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.timer.scheduleWithFixedDelay(this.processEnd.guard("feeds", this.directoryFeeds::sendHeardTargets),
				DirectoryFeeds.FEED_INTERVAL_MS, DirectoryFeeds.FEED_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.timer.scheduleWithFixedDelay(this.processEnd.guard("duty-gate", gate::check), DUTY_CHECK_INTERVAL_MS,
				DUTY_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.timer.scheduleWithFixedDelay(this.processEnd.guard("software", this::recordNewSoftware),
				SOFTWARE_CHECK_INTERVAL_MS, SOFTWARE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		LOGGER.atInfo()
			.log("event=control_started replica=%s journal_bytes=%d duration_ms=%d", this.store.replicaId(),
					this.store.journalBytes(), clockMs() - replicaStartedMs);
	}

	private static Platform createPlatform(String platformUrl) throws ServiceException {
		try {
			return platformUrl.isEmpty() ? Platform.none() : new HttpPlatform(URI.create(platformUrl));
		}
		catch (MalformedURLException ex) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID,
					"platformUrl must be a URL with a supported protocol");
		}
	}

	@Override
	public void stop() {
		this.stopping = true;
		this.timer.shutdownNow();
		this.tableEncoder.shutdown();
		PresenceExchange runningExchange = this.exchange;
		if (runningExchange != null) {
			runningExchange.stop();
		}
		if (this.duties != null) {
			this.duties.stop();
		}
		if (this.driver != null) {
			this.driver.stop();
		}
		this.memberLinks.close();
		this.network.stop();
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
		dump.put("name", this.members.ownName());
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
		summary.put("weights", state.newestWeightVersions());
		summary.put("orders", state.targetOrders());
		summary.put("draining", state.drainingTargets());
		summary.put("evacuated", state.evacuatedDomains());
		summary.put("closedWindows", state.usage().closedWindows());
		summary.put("suspects", state.crashes().suspects());
		summary.put("quarantined", quarantined(state));
		summary.put("suspicions", state.lostRequests().effective(System.currentTimeMillis()));
		summary.put("steps", state.steps().images().size());
		return summary;
	}

	private static List<String> quarantined(ControlState state) {
		return Stream
			.concat(state.crashes().quarantined().stream(),
					state.lostRequests().quarantined(System.currentTimeMillis()).stream())
			.toList();
	}

	/**
	 * Checks the size of an operator's document before it is decoded.
	 * @param documentBytes the size, in bytes
	 * @throws ServiceException with {@link ResultCode#CHANGE_TOO_LARGE} if it exceeds the
	 * limit
	 */
	public void requireTableSize(int documentBytes) throws ServiceException {
		this.budget.requireTable(documentBytes, 0);
	}

	/**
	 * Returns the heap that the replicated state may take.
	 * @return the limit, in bytes
	 */
	public long stateBudgetBytes() {
		return this.budget.stateBytes();
	}

	/**
	 * Returns the heap that the replicated state takes and is expected to take.
	 * @return the size, zero before the state is restored
	 */
	public StateSize stateSize() {
		ReplicaDriver running = this.driver;
		return (running != null) ? running.stateSize() : new StateSize(JobSize.ZERO, 0);
	}

	/**
	 * Commits and applies a command, through the leader if that is another replica.
	 * @param command the command
	 * @return the reply of the replicated state; the future fails with a
	 * {@link ServiceException} if the command was not accepted or its outcome is unknown
	 */
	public CompletableFuture<Reply> propose(Command command) {
		ReplicaDriver running = requireDriver();
		if (running.status().isLeader()) {
			return running.propose(command);
		}
		return leaderLink()
			.map((peer) -> peer.call(new Message.Propose(command, true), CALL_TIMEOUT_MS)
				.thenApply((response) -> ((Message.Proposed) response).reply()))
			.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
	}

	/**
	 * Reads the replicated state linearizably: the result includes every change that was
	 * accepted before the call. Waits for a moment while a leader is elected.
	 * @param <T> the type of the result
	 * @param reader the function that reads the state, called on the state's thread
	 * @return the result; the future fails with a {@link ServiceException} if no leader
	 * answers
	 */
	public <T> CompletableFuture<T> readCurrent(Function<ControlState, T> reader) {
		ReplicaDriver running = requireDriver();
		return this.readIndexes.find()
			.thenCompose(running::awaitApplied)
			.thenCompose((applied) -> running.read(reader));
	}

	/**
	 * Reads the routing table linearizably. Unlike {@link #readCurrent}, it waits for no
	 * other read of the state and for no change of anything else.
	 * @return the table with its document, empty if none was accepted yet; the future
	 * fails with a {@link ServiceException} if no leader answers
	 */
	public CompletableFuture<Optional<CurrentRoutingTable.Image>> readTable() {
		return this.readIndexes.find().thenCompose(requireDriver()::readTable);
	}

	private CompletableFuture<Long> lookUpReadIndex(long timeoutMs) {
		if (this.stopping) {
			return CompletableFuture
				.failedFuture(ServiceException.of(ResultCode.SHUTTING_DOWN, "the control process is stopping"));
		}
		Optional<ReplicaStatus> leading = requireDriver().leading();
		if (leading.isPresent()) {
			return CompletableFuture.completedFuture(leading.get().commitIndex());
		}
		return leaderLink()
			.map((peer) -> peer.call(new Message.ReadIndex(), timeoutMs)
				.thenApply((response) -> ((Message.ReadIndexAt) response).index()))
			.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
	}

	private Optional<Peer> leaderLink() {
		String leaderId = requireDriver().status().leaderId();
		return leaderId.isEmpty() ? Optional.empty() : this.memberLinks.peer(MemberChange.nameOf(leaderId));
	}

	private static ServiceException noLeader() {
		return ServiceException.retryable(ResultCode.NOT_LEADER, "no leader is known", NO_LEADER_RETRY_MS);
	}

	private ReplicaDriver requireDriver() {
		ReplicaDriver running = this.driver;
		if (running == null) {
			throw new IllegalStateException("the control process has not started");
		}
		return running;
	}

	/** Returns the monotonic time of the replica, in milliseconds. */
	long nowMs() {
		return requireDriver().nowMs();
	}

	private PresenceExchange requireExchange() {
		PresenceExchange runningExchange = this.exchange;
		if (runningExchange == null) {
			throw new IllegalStateException("the control process has not started");
		}
		return runningExchange;
	}

	/**
	 * Returns the status of the system: its members, entries and targets, and how many of
	 * them have the newest configuration.
	 * @return the status by key; the future fails with a {@link ServiceException} if no
	 * leader answers
	 */
	public CompletableFuture<Map<String, Object>> status() {
		ReplicaDriver running = requireDriver();
		CompletableFuture<Message.PresenceReport> presenceReport = running.status().isLeader()
				? CompletableFuture.completedFuture(this.presence.fullReport(this.store.replicaId(), running.nowMs()))
				: leaderLink()
					.map((peer) -> peer.call(new Message.PresenceRequest(), CALL_TIMEOUT_MS)
						.thenApply(Message.PresenceReport.class::cast))
					.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
		return presenceReport.thenCombine(
				readCurrent((state) -> new ReplicatedStatus(state.records().revision(), quarantined(state))),
				this::statusOf);
	}

	private Map<String, Object> statusOf(Message.PresenceReport presenceReport, ReplicatedStatus replicated) {
		long revision = replicated.revision();
		ReplicaStatus replica = requireDriver().status();
		Collection<Message.EntryState> entries = presenceReport.entries().changed().values();
		Collection<Message.TargetState> targets = presenceReport.targets().changed().values();
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
		status.put("pools", presenceReport.pools());
		status.put("targets", targets);
		status.put("quarantined", replicated.quarantined());
		return status;
	}

	private void sendConsensusMessage(ConsensusMessage message) {
		this.memberLinks.peer(MemberChange.nameOf(message.to()))
			.ifPresent((peer) -> peer.send(new Message.Consensus(message)));
	}

	/**
	 * Keeps connections to all members open. Requests to join if the disk is new or was
	 * lost, or if no leader is known, since the others may have removed this member.
	 */
	private void maintainMembership() {
		try {
			this.coldTargets.checkLease();
			recordSoftware();
			ReplicaStatus status = requireDriver().status();
			this.memberLinks.update(status.membership());
			if (!isOnlyVoterOfOwnName(status) || status.leaderId().isEmpty()) {
				String domain = this.domainSettings.own();
				Message.JoinRequest request = new Message.JoinRequest(this.store.replicaId(),
						domain.isEmpty() ? null : domain);
				this.memberLinks.peers().forEach((peer) -> peer.send(request));
			}
		}
		catch (RuntimeException ex) {
			LOGGER.atWarning().withCause(ex).log("event=join_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	/** No stream begins at a new software version before it is recorded. */
	private void recordNewSoftware() {
		if (this.directoryFeeds.takeUnrecordedLearned()) {
			recordSoftware();
		}
	}

	/** Records the software versions of the targets as leader. */
	private void recordSoftware() {
		if (leaseTerm().isPresent()) {
			SoftwareHistory known = this.softwareHistory;
			this.directoryFeeds.softwareSightings(System.currentTimeMillis())
				.stream()
				.filter(known::isDue)
				.forEach((sighting) -> propose(Command.DrainTarget.ofSoftware(sighting)).exceptionally((failure) -> {
					LOGGER.atInfo()
						.log("event=software_not_recorded pool=%s software=%s detail=\"%s\"", sighting.pool(),
								sighting.softwareVersion(), failure.getMessage());
					return null;
				}));
		}
	}

	private boolean isOnlyVoterOfOwnName(ReplicaStatus status) {
		return status.membership()
			.voters()
			.stream()
			.filter((id) -> MemberChange.nameOf(id).equals(this.members.ownName()))
			.toList()
			.equals(List.of(this.store.replicaId()));
	}

	/** Returns the members that this process keeps connections to, connected or not. */
	Set<String> linkedMembers() {
		return this.memberLinks.names();
	}

	private List<String> controlAddresses() {
		ReplicaDriver running = this.driver;
		return (running != null) ? this.members.addresses(running.status().membership()) : List.of();
	}

	/**
	 * Requests that a control process leaves the membership once another has replaced it.
	 * @param name the name that operators use for it
	 * @return a future that completes once the request is accepted; it fails with
	 * RECORD_UNKNOWN for an unknown process and with REVISION_CONFLICT if fewer than the
	 * required number of voters would remain
	 */
	public CompletableFuture<Void> retire(String name) {
		Optional<String> address = this.directoryFeeds.addressOf(name);
		if (address.isEmpty()) {
			return CompletableFuture
				.failedFuture(ServiceException.of(ResultCode.RECORD_UNKNOWN, "no control process is named " + name));
		}
		return readCurrent(ControlState::retiringMembers).thenCompose((retiring) -> {
			if (retiring.contains(address.get())) {
				return CompletableFuture.<Void>completedFuture(null);
			}
			long remaining = requireDriver().status()
				.membership()
				.all()
				.stream()
				.map(MemberChange::nameOf)
				.filter((member) -> !member.equals(address.get()) && !retiring.contains(member))
				.distinct()
				.count();
			if (remaining < this.members.maximumVoters()) {
				return CompletableFuture.failedFuture(ServiceException.of(ResultCode.REVISION_CONFLICT,
						"only " + remaining + " control processes would remain, but " + this.members.maximumVoters()
								+ " are required"));
			}
			LOGGER.atInfo().log("event=retirement_ordered member=%s name=%s", address.get(), name);
			return propose(new Command.RetireMember(address.get())).thenApply((reply) -> null);
		});
	}

	/**
	 * Returns whether a retiring control process has left the membership.
	 * @param name the name that operators use for it
	 * @return true once it has left, false while it is a member; the future fails with
	 * RECORD_UNKNOWN if its retirement was not requested
	 */
	public CompletableFuture<Boolean> isRetired(String name) {
		String address = this.directoryFeeds.addressOf(name).orElse("");
		return readCurrent(ControlState::retiringMembers).thenCompose((retiring) -> {
			if (!retiring.contains(address)) {
				return CompletableFuture
					.failedFuture(ServiceException.of(ResultCode.RECORD_UNKNOWN, name + " is not retiring"));
			}
			return CompletableFuture.completedFuture(requireDriver().status()
				.membership()
				.all()
				.stream()
				.noneMatch((id) -> MemberChange.nameOf(id).equals(address)));
		});
	}

	/**
	 * Orders that nothing is sent to the targets of a failure domain, or ends such an
	 * order. An order that is in force already changes nothing.
	 * @param failureDomain the failure domain
	 * @param evacuated true to send nothing to its targets, false to use them again
	 * @return a future that completes once the order is committed; it fails with
	 * RECORD_UNKNOWN for an unknown failure domain; after any other failure it is unknown
	 * whether the order will be in force
	 */
	public CompletableFuture<Void> evacuate(String failureDomain, boolean evacuated) {
		return readCurrent(EvacuationView::of).thenCompose((view) -> order(failureDomain, evacuated, view))
			.orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(asUndecided(failure)));
	}

	private CompletableFuture<Void> order(String failureDomain, boolean evacuated, EvacuationView view) {
		// The targets of an evacuated domain may be forgotten before the evacuation ends.
		if (!view.domains().contains(failureDomain) && !isKnownDomain(failureDomain)) {
			return CompletableFuture.failedFuture(
					ServiceException.of(ResultCode.RECORD_UNKNOWN, "no failure domain is named " + failureDomain));
		}
		if (view.domains().contains(failureDomain) == evacuated) {
			logOrder(failureDomain, evacuated, view.index());
			return CompletableFuture.completedFuture(null);
		}
		return propose(new Command.EvacuateDomain(failureDomain, evacuated, view.index())).thenCompose((reply) -> {
			try {
				reply.orThrow();
				logOrder(failureDomain, evacuated, ((Reply.Accepted) reply).revision());
				return CompletableFuture.completedFuture(null);
			}
			catch (ServiceException ex) {
				return CompletableFuture.failedFuture(ex);
			}
		});
	}

	private static void logOrder(String failureDomain, boolean evacuated, long index) {
		LOGGER.atInfo()
			.log("event=evacuation_ordered domain=%s evacuated=%b index=%d", failureDomain, evacuated, index);
	}

	private boolean isKnownDomain(String failureDomain) {
		List<String> known = this.domainSettings.known();
		return known.isEmpty() ? this.directoryFeeds.knownDomains().contains(failureDomain)
				: known.contains(failureDomain);
	}

	private static ServiceException asUndecided(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause instanceof ServiceException known) ? known : ServiceException
			.retryable(ResultCode.CHANGE_UNDECIDED, "the order was not decided in time: " + cause, UNDECIDED_RETRY_MS);
	}

	/**
	 * Returns the term in which this process leads while its lease is valid.
	 * @return the term, which serves as fencing token, or empty without a valid lease
	 */
	public OptionalLong leaseTerm() {
		ReplicaDriver running = this.driver;
		if (running == null || this.stopping) {
			return OptionalLong.empty();
		}
		return running.leading().stream().mapToLong(ReplicaStatus::term).findFirst();
	}

	/**
	 * Returns the term in which this process may send calls that carry a fencing token,
	 * which a leader that was replaced shortly before may not do at once.
	 * @return the term, which serves as fencing token, or empty if this process must not
	 * send such calls now
	 */
	public OptionalLong dutyTerm() {
		DutyGate gate = this.dutyGate;
		return (gate == null || this.stopping) ? OptionalLong.empty() : gate.term();
	}

	/**
	 * Returns the directory of the targets that announced themselves to any control
	 * process.
	 * @return the directory, which also takes announcements
	 */
	public DirectoryFeeds directory() {
		return this.directoryFeeds;
	}

	/**
	 * Returns the leader's permits for requests to targets that are or may become cold.
	 * @return the permits, of which a process that does not lead grants none
	 */
	public ColdTargets coldTargets() {
		return this.coldTargets;
	}

	/**
	 * Announces that a target leaves and records it so that a restart of all control
	 * processes does not forget it.
	 * @param notice the notice of the target, draining or gone
	 * @return a future that completes once it is recorded; it fails with a
	 * {@link ServiceException} if that is not certain
	 */
	public CompletableFuture<Void> announceLeaving(TargetNotice notice) {
		this.directoryFeeds.announce(notice);
		return recordLeft(notice.id(), notice.bornMs());
	}

	/**
	 * Records that a target leaves, of which nothing else may be known.
	 * @param targetId the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch, 0 if it is unknown,
	 * so that nothing is recorded
	 * @return a future that completes once it is recorded; it fails with a
	 * {@link ServiceException} if that is not certain
	 */
	public CompletableFuture<Void> recordLeft(String targetId, long bornMs) {
		if (bornMs == 0 || this.directoryFeeds.hasLeft(targetId, bornMs)) {
			return CompletableFuture.completedFuture(null);
		}
		return propose(Command.DrainTarget.ofLeft(new LeftTarget(targetId, bornMs, System.currentTimeMillis())))
			.thenApply((reply) -> null);
	}

	/**
	 * Adds a listener that is called after each change of the replicated state.
	 * @param listener the listener, called on the state's thread
	 */
	public void addStateListener(Consumer<ControlState> listener) {
		this.stateListeners.add(listener);
	}

	/**
	 * Reads the state that this replica has applied, which may be behind the leader's.
	 * @param <T> the type of the result
	 * @param reader the function that reads the state, called on the state's thread
	 * @return the result
	 */
	public <T> CompletableFuture<T> readApplied(Function<ControlState, T> reader) {
		return requireDriver().read(reader);
	}

	private void onStateChanged(ControlState state) {
		SoftwareHistory history = state.softwareHistory();
		if (history != this.softwareHistory) {
			this.softwareHistory = history;
			this.directoryFeeds.updateSoftware(new RecordedSoftware(state.appliedIndex(), history.versionsByPool()));
		}
		// First, since an entry that has just started calls nobody without a table.
		this.directoryFeeds.updateLeft(state.leftTargets());
		this.directoryFeeds.updateForgettableEnds(state.jobs().earlyEnds().forgettableIndex());
		this.directoryFeeds.updateEvacuations(new Evacuations(state.appliedIndex(), state.evacuatedDomains()));
		CurrentRoutingTable.Image table = state.routingTable();
		if (table != null) {
			this.directoryFeeds.updateTable(table.table());
		}
		this.directoryFeeds.updateSuspects(
				new Message.Suspects(state.appliedIndex(), state.lostRequests().effective(System.currentTimeMillis())));
		this.stateListeners.forEach((listener) -> listener.accept(state));
		EntryFeeds started = this.feeds;
		if (started != null) {
			started.onStateChanged(state);
		}
	}

	@Override
	public void onNotification(Peer peer, Message message) {
		if (message instanceof Message.Subscribe subscription) {
			this.directoryFeeds.onSubscribe(peer, subscription);
			return;
		}
		if (message instanceof Message.TableRequest request) {
			this.directoryFeeds.onTableRequest(peer, request);
			return;
		}
		if (message instanceof Message.SystemFeed feed) {
			this.directoryFeeds.onFeed(feed);
			return;
		}
		if (message instanceof Message.StreamsBegun begun) {
			this.streamRecords.record(begun.streams());
			return;
		}
		ReplicaDriver running = this.driver;
		if (running == null) {
			return;
		}
		if (message instanceof Message.Consensus consensus) {
			running.receive(consensus.message());
		}
		else if (message instanceof Message.JoinRequest join) {
			String domain = join.failureDomain();
			if (domain != null) {
				this.directoryFeeds.addDomains(Map.of(MemberChange.nameOf(join.replicaId()), domain));
			}
			running.onJoinRequest(join.replicaId());
			forwardToLeader(peer, join);
		}
		else if (message instanceof Message.EntryReport report) {
			EntryFeeds started = this.feeds;
			if (started != null) {
				started.onReport(peer, report);
			}
		}
	}

	/**
	 * Forwards a request that came from its sender, who knows only the seeds at first.
	 */
	private void forwardToLeader(Peer sender, Message.JoinRequest request) {
		boolean direct = MemberChange.nameOf(request.replicaId()).equals(sender.identity().nodeId());
		if (direct && !requireDriver().status().isLeader()) {
			leaderLink().ifPresent((leader) -> leader.send(request));
		}
	}

	@Override
	public void onClosed(Peer peer) {
		this.directoryFeeds.onClosed(peer);
		EntryFeeds started = this.feeds;
		if (started != null) {
			started.onClosed(peer);
		}
	}

	@Override
	public void onRequest(Peer peer, Message message, Responder responder) {
		if (message instanceof Message.FormationProbe) {
			responder.respond(new Message.FormationState(this.store.replicaId(), this.store.isInitialized(), List.of()),
					true);
			return;
		}
		if (this.driver == null) {
			respondFailure(responder, noLeader());
			return;
		}
		handleRequest(message).whenComplete((response, failure) -> {
			if (failure == null) {
				responder.respond(response, true);
			}
			else {
				respondFailure(responder, failure);
			}
		});
	}

	private CompletableFuture<Message> handleRequest(Message message) {
		ReplicaDriver running = requireDriver();
		if (message instanceof Message.Propose propose) {
			CompletableFuture<Reply> reply = propose.forwarded() ? running.propose(propose.command())
					: propose(propose.command());
			return reply.thenApply(Message.Proposed::new);
		}
		if (message instanceof Message.ReadIndex) {
			return running.leading()
				.map((status) -> CompletableFuture
					.<Message>completedFuture(new Message.ReadIndexAt(status.commitIndex())))
				.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
		}
		if (message instanceof Message.ColdPermitRequest request) {
			return grantColdPermits(request);
		}
		if (message instanceof Message.FetchBatch fetch) {
			return readBatch(fetch).thenApply(Message.Batch::new);
		}
		if (message instanceof Message.ReadJob read) {
			return this.jobReads.page(read).thenApply(Message.class::cast);
		}
		if (message instanceof Message.FindStream find) {
			return CompletableFuture.completedFuture(this.streamRecords.find(find));
		}
		if (message instanceof Message.ReadSoftware read) {
			return readCurrent(ControlState::softwareHistory)
				.thenApply((history) -> new Message.SoftwareVersions(List.copyOf(history.versions(read.pool()))));
		}
		if (message instanceof Message.ReadItem read) {
			return this.jobReads.itemBody(read).thenApply(Message.ItemBody::new);
		}
		if (message instanceof Message.PresenceRequest) {
			return CompletableFuture.completedFuture(this.presence.fullReport(this.store.replicaId(), running.nowMs()));
		}
		if (message instanceof Message.PresenceReport report) {
			return handlePresenceReport(report);
		}
		return CompletableFuture.failedFuture(ServiceException.of(ResultCode.FRAME_MALFORMED,
				"unexpected message " + message.getClass().getSimpleName()));
	}

	/** Grants permits as leader, or forwards the request of an entry to the leader. */
	private CompletableFuture<Message> grantColdPermits(Message.ColdPermitRequest request) {
		try {
			if (request.forwarded() || leaseTerm().isPresent()) {
				return CompletableFuture.completedFuture(this.coldTargets.grant(request));
			}
		}
		catch (ServiceException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		Message forwarded = new Message.ColdPermitRequest(request.targetId(), request.bornMs(), request.count(), true);
		// A reply that takes longer is of no use to the entry.
		return leaderLink().map((peer) -> peer.call(forwarded, HeldPermits.VALID_MS))
			.orElseGet(() -> CompletableFuture.failedFuture(noLeader()));
	}

	private CompletableFuture<Message> handlePresenceReport(Message.PresenceReport report) {
		try {
			return CompletableFuture.completedFuture(requireExchange().onPresenceReport(report));
		}
		catch (ServiceException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private CompletableFuture<List<Sample>> readBatch(Message.FetchBatch fetch) {
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
		ServiceException serviceFailure = (cause instanceof ServiceException exception) ? exception
				: ServiceException.of(ResultCode.INTERNAL, String.valueOf(cause));
		responder.respond(new Message.Failure(serviceFailure.code(), String.valueOf(serviceFailure.getMessage()),
				serviceFailure.retryAfterMs()), true);
	}

	/**
	 * The part of the status that is read from the replicated state.
	 *
	 * @param revision the configuration revision
	 * @param quarantined the digests of quarantined requests
	 */
	private record ReplicatedStatus(long revision, List<String> quarantined) {
	}

	/**
	 * The evacuated failure domains in the replicated state.
	 *
	 * @param index the log index of the last applied command
	 * @param domains the failure domains
	 */
	private record EvacuationView(long index, Set<String> domains) {

		static EvacuationView of(ControlState state) {
			return new EvacuationView(state.appliedIndex(), state.evacuatedDomains());
		}

	}

}
