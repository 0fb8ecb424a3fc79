package org.zinniatack.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.config.Configuration;
import org.zinniatack.core.config.ConfigurationRecord;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.state.TargetOrder;
import org.zinniatack.core.target.Placement;
import org.zinniatack.core.target.ScalingPolicy;
import org.zinniatack.core.usage.UsageWindow;
import org.zinniatack.core.weight.Rollout;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;
import org.zinniatack.wire.Message;

/**
 * The tasks of the leader: roll out weights, order targets, close usage windows and
 * report usage. Each order is committed before it is sent, and the gate is checked
 * immediately before each order or report is sent.
 */
final class LeaderDuties implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long INTERVAL_MS = 200;

	private static final long CALL_TIMEOUT_MS = 3_000;

	private static final long RESEND_INTERVAL_MS = 5_000;

	private static final double SERVING_SHARE = 0.5;

	private static final long LOAD_TIMEOUT_MS = 10_000;

	private final ReplicaDriver driver;

	private final DutyGate gate;

	private final Presence presence;

	private final Platform platform;

	private final DutySettings settings;

	private final LongSupplier wallClockMs;

	private final ProcessEnd processEnd;

	private final ScheduledExecutorService executor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "leader-duties"));

	private final Map<String, Rollout> rollouts = new HashMap<>();

	private final Map<String, ScalingPolicy> scalingPolicies = new HashMap<>();

	private final Map<String, SentOrder> sentOrders = new HashMap<>();

	private volatile Map<String, Message.TargetDirective> directives = Map.of();

	private Configuration configuration = Configuration.empty();

	private long dutiesTerm;

	LeaderDuties(ReplicaDriver driver, DutyGate gate, Presence presence, Platform platform, DutySettings settings,
			LongSupplier wallClockMs, ProcessEnd processEnd) {
		this.driver = driver;
		this.gate = gate;
		this.presence = presence;
		this.platform = platform;
		this.settings = settings;
		this.wallClockMs = wallClockMs;
		this.processEnd = processEnd;
	}

	@Override
	public void start() {
		this.executor.scheduleWithFixedDelay(this.processEnd.guard("duties", this::runDuties), INTERVAL_MS, INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		this.executor.shutdownNow();
	}

	/** Returns the directives for targets by target id. */
	Map<String, Message.TargetDirective> directives() {
		return this.directives;
	}

	private void runDuties() {
		try {
			Optional<ReplicaStatus> leading = this.driver.leading();
			if (leading.isEmpty()) {
				return;
			}
			long term = leading.get().term();
			if (term != this.dutiesTerm) {
				this.dutiesTerm = term;
				this.rollouts.clear();
				this.scalingPolicies.clear();
				this.sentOrders.clear();
			}
			Collection<Message.TargetState> targets = this.presence.targets(this.driver.nowMs()).values();
			updateDirectives(targets, term);
			orderTargets();
			closeUsageWindow();
			reportUsage();
		}
		catch (ServiceException ex) {
			LOGGER.atWarning().log("event=duty_failed code=%d detail=\"%s\"", ex.code().number(), ex.getMessage());
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere().withCause(ex).log("event=duty_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	private void updateDirectives(Collection<Message.TargetState> targets, long term) throws ServiceException {
		Map<String, List<Message.TargetState>> byPool = targets.stream()
			.filter((target) -> target.weightVersion() > 0)
			.collect(Collectors.groupingBy(Message.TargetState::pool));
		Map<String, Message.TargetDirective> nextDirectives = new HashMap<>();
		Set<String> draining = read(ControlState::drainingTargets);
		Configuration configuration = configuration();
		for (Map.Entry<String, List<Message.TargetState>> pool : byPool.entrySet()) {
			long newest = updateNewestVersion(pool.getKey());
			Rollout rollout = this.rollouts.computeIfAbsent(pool.getKey(),
					(absent) -> new Rollout(SERVING_SHARE, LOAD_TIMEOUT_MS));
			List<Rollout.Target> targetVersions = pool.getValue()
				.stream()
				.map((target) -> new Rollout.Target(target.targetId(), target.weightVersion()))
				.toList();
			rollout.targetsToLoad(newest, targetVersions, loadsPerS(configuration, pool.getKey()), this.driver.nowMs())
				.forEach((id) -> nextDirectives.put(id,
						new Message.TargetDirective(term, newest, draining.contains(id))));
			rollout.failedTargets().forEach((id) -> nextDirectives.put(id, new Message.TargetDirective(term, 0, true)));
		}
		draining.forEach((id) -> nextDirectives.putIfAbsent(id, new Message.TargetDirective(term, 0, true)));
		this.directives = Map.copyOf(nextDirectives);
	}

	private static double loadsPerS(Configuration configuration, String pool) {
		return Optional.ofNullable(configuration.poolPolicies().get(pool))
			.map(Specification.PoolPolicy::weightLoadsPerS)
			.orElse(0.0);
	}

	private long updateNewestVersion(String model) throws ServiceException {
		long known = read((state) -> state.newestWeightVersion(model));
		Optional<Long> newest = this.platform.newestWeightVersion(model);
		if (newest.isPresent() && newest.get() > known) {
			commit(new Command.AnnounceWeights(model, newest.get()));
			return newest.get();
		}
		return known;
	}

	private void orderTargets() throws ServiceException {
		Configuration configuration = configuration();
		Map<String, TargetOrder> orders = read(ControlState::targetOrders).stream()
			.collect(Collectors.toMap(TargetOrder::pool, (order) -> order));
		for (Specification.PoolPolicy policy : configuration.poolPolicies().values()) {
			TargetOrder current = orders.get(policy.pool());
			int orderedCount = (current != null)
					? current.countsByFailureDomain().values().stream().mapToInt(Integer::intValue).sum() : 0;
			int desiredCount = this.scalingPolicies
				.computeIfAbsent(policy.pool(), (absent) -> ScalingPolicy.hysteresis(this.settings.shrinkDelayMs()))
				.targetCount(policy, poolLoad(policy.pool()), orderedCount, this.driver.nowMs());
			if (current == null || desiredCount != orderedCount) {
				Reply.Accepted accepted = (Reply.Accepted) commit(new Command.OrderTargets(policy.pool(),
						Placement.spread(desiredCount, this.settings.failureDomains())));
				current = new TargetOrder(policy.pool(), accepted.revision(),
						Placement.spread(desiredCount, this.settings.failureDomains()));
			}
			if (mayAct()) {
				sendIfDue(current);
			}
		}
	}

	private ScalingPolicy.Load poolLoad(String pool) {
		return this.presence.pools(this.driver.nowMs())
			.stream()
			.filter((load) -> load.pool().equals(pool))
			.map((load) -> new ScalingPolicy.Load(load.queuedCount(), load.runningCount()))
			.findFirst()
			.orElse(new ScalingPolicy.Load(0, 0));
	}

	private void sendIfDue(TargetOrder order) throws ServiceException {
		SentOrder lastSent = this.sentOrders.get(order.pool());
		long nowMs = this.driver.nowMs();
		if (lastSent != null && lastSent.orderNumber() == order.orderNumber()
				&& nowMs - lastSent.sentAtMs() < RESEND_INTERVAL_MS) {
			return;
		}
		long term = requireTerm();
		this.platform.sendOrder(order, term, () -> mayActIn(term));
		this.sentOrders.put(order.pool(), new SentOrder(order.orderNumber(), nowMs));
		if (lastSent == null || lastSent.orderNumber() != order.orderNumber()) {
			LOGGER.atInfo()
				.log("event=targets_ordered pool=%s order=%d counts=%s", order.pool(), order.orderNumber(),
						order.countsByFailureDomain());
		}
	}

	private void closeUsageWindow() throws ServiceException {
		long windowMs = this.settings.usageWindowMs();
		long latestEndMs = this.wallClockMs.getAsLong() - this.settings.usageGraceMs();
		long endMs = latestEndMs - Math.floorMod(latestEndMs, windowMs);
		long closedUntilMs = read((state) -> state.usage().closedUntilMs());
		if (closedUntilMs < endMs) {
			long startMs = (closedUntilMs > 0) ? closedUntilMs : endMs - windowMs;
			commit(new Command.CloseWindow(startMs, startMs + windowMs));
		}
	}

	private void reportUsage() throws ServiceException {
		Optional<UsageWindow> window = read((state) -> state.usage().oldestUnacknowledged());
		if (window.isPresent() && mayAct()) {
			long term = requireTerm();
			this.platform.reportUsage(window.get(), term, () -> mayActIn(term));
			commit(new Command.AcknowledgeWindow(window.get().startMs()));
			LOGGER.atInfo()
				.log("event=usage_reported window_start_ms=%d figures=%d term=%d", window.get().startMs(),
						window.get().figures().size(), term);
		}
	}

	/** A leader that has to wait for its turn does everything but send. */
	private boolean mayAct() {
		return this.gate.term().isPresent();
	}

	private boolean mayActIn(long term) {
		OptionalLong current = this.gate.term();
		return current.isPresent() && current.getAsLong() == term;
	}

	private long requireTerm() throws ServiceException {
		if (!mayActIn(this.dutiesTerm)) {
			throw ServiceException.of(ResultCode.NOT_LEADER, "the leader lease has expired or the term has changed");
		}
		return this.dutiesTerm;
	}

	private Configuration configuration() throws ServiceException {
		long revision = read((state) -> state.records().revision());
		if (revision != this.configuration.revision()) {
			long known = this.configuration.revision();
			List<ConfigurationRecord> changed = read((state) -> state.records().recordsAfter(known));
			this.configuration = this.configuration.withChanges(revision, changed);
		}
		return this.configuration;
	}

	private <T> T read(Function<ControlState, T> reader) throws ServiceException {
		return await(this.driver.read(reader));
	}

	private Reply commit(Command command) throws ServiceException {
		return await(this.driver.propose(command)).orThrow();
	}

	private static <T> T await(CompletableFuture<T> future) throws ServiceException {
		try {
			return future.get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw ServiceException.of(ResultCode.SHUTTING_DOWN, "interrupted while waiting for the replica");
		}
		catch (TimeoutException ex) {
			throw ServiceException.of(ResultCode.CALL_TIMED_OUT,
					"the replica did not respond within " + CALL_TIMEOUT_MS + " ms");
		}
		catch (ExecutionException ex) {
			throw (ex.getCause() instanceof ServiceException failure) ? failure
					: ServiceException.of(ResultCode.INTERNAL, String.valueOf(ex.getCause()));
		}
	}

	private record SentOrder(long orderNumber, long sentAtMs) {
	}

}
