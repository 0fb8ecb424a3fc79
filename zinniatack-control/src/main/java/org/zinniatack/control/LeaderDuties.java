package org.zinniatack.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.zinniatack.process.Service;
import org.zinniatack.wire.Message;

/**
 * What only the process in charge does: roll weights, order targets, close windows and
 * report usage. Each order is committed before it is sent, and the lease is checked last
 * before each sending.
 */
final class LeaderDuties implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long ROUND_MS = 200;

	private static final long CALL_TIMEOUT_MS = 3_000;

	private static final long RESEND_MS = 5_000;

	private static final double SERVING_SHARE = 0.5;

	private static final long LOAD_TIMEOUT_MS = 10_000;

	private final ReplicaDriver driver;

	private final Presence presence;

	private final Platform platform;

	private final DutySettings settings;

	private final LongSupplier wallClockMs;

	private final ScheduledExecutorService executor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "leader-duties"));

	private final Map<String, Rollout> rollouts = new HashMap<>();

	private final Map<String, ScalingPolicy> scalingPolicies = new HashMap<>();

	private final Map<String, Sent> sentOrders = new HashMap<>();

	private volatile Map<String, Message.TargetDirective> directives = Map.of();

	private Configuration configuration = Configuration.empty();

	private long dutiesTerm;

	LeaderDuties(ReplicaDriver driver, Presence presence, Platform platform, DutySettings settings,
			LongSupplier wallClockMs) {
		this.driver = driver;
		this.presence = presence;
		this.platform = platform;
		this.settings = settings;
		this.wallClockMs = wallClockMs;
	}

	@Override
	public void start() {
		this.executor.scheduleWithFixedDelay(this::round, ROUND_MS, ROUND_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		this.executor.shutdownNow();
	}

	/** Returns the orders for targets by target id. */
	Map<String, Message.TargetDirective> directives() {
		return this.directives;
	}

	private void round() {
		try {
			ReplicaStatus status = this.driver.status();
			if (!status.holdsLease(this.driver.nowMs())) {
				return;
			}
			if (status.term() != this.dutiesTerm) {
				this.dutiesTerm = status.term();
				this.rollouts.clear();
				this.scalingPolicies.clear();
				this.sentOrders.clear();
			}
			Collection<Message.TargetState> targets = this.presence.targets(this.driver.nowMs()).values();
			rollWeights(targets, status.term());
			orderTargets();
			closeWindow();
			reportUsage();
		}
		catch (ServiceException ex) {
			LOGGER.atWarning().log("event=duty_failed code=%d detail=\"%s\"", ex.code().number(), ex.getMessage());
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere().withCause(ex).log("event=duty_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	private void rollWeights(Collection<Message.TargetState> targets, long term) throws ServiceException {
		Map<String, List<Message.TargetState>> byPool = targets.stream()
			.filter((target) -> target.weightVersion() > 0)
			.collect(Collectors.groupingBy(Message.TargetState::pool));
		Map<String, Message.TargetDirective> next = new HashMap<>();
		Set<String> draining = read(ControlState::drainingTargets);
		Configuration configuration = configuration();
		for (Map.Entry<String, List<Message.TargetState>> pool : byPool.entrySet()) {
			long newest = announceWeights(pool.getKey());
			Rollout rollout = this.rollouts.computeIfAbsent(pool.getKey(),
					(absent) -> new Rollout(SERVING_SHARE, LOAD_TIMEOUT_MS));
			List<Rollout.Target> holders = pool.getValue()
				.stream()
				.map((target) -> new Rollout.Target(target.targetId(), target.weightVersion()))
				.toList();
			rollout.targetsToLoad(newest, holders, loadsPerS(configuration, pool.getKey()), this.driver.nowMs())
				.forEach((id) -> next.put(id, new Message.TargetDirective(term, newest, draining.contains(id))));
			rollout.failedTargets().forEach((id) -> next.put(id, new Message.TargetDirective(term, 0, true)));
		}
		draining.forEach((id) -> next.putIfAbsent(id, new Message.TargetDirective(term, 0, true)));
		this.directives = Map.copyOf(next);
	}

	private static double loadsPerS(Configuration configuration, String pool) {
		return Optional.ofNullable(configuration.poolPolicies().get(pool))
			.map(Specification.PoolPolicy::weightLoadsPerS)
			.orElse(0.0);
	}

	private long announceWeights(String model) throws ServiceException {
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
		for (Specification.PoolPolicy limits : configuration.poolPolicies().values()) {
			TargetOrder current = orders.get(limits.pool());
			int ordered = (current != null)
					? current.countsByFailureDomain().values().stream().mapToInt(Integer::intValue).sum() : 0;
			int wanted = this.scalingPolicies
				.computeIfAbsent(limits.pool(), (absent) -> ScalingPolicy.hysteresis(this.settings.shrinkDelayMs()))
				.targetCount(limits, loadOf(limits.pool()), ordered, this.driver.nowMs());
			if (current == null || wanted != ordered) {
				Reply.Accepted accepted = (Reply.Accepted) commit(new Command.OrderTargets(limits.pool(),
						Placement.spread(wanted, this.settings.failureDomains())));
				current = new TargetOrder(limits.pool(), accepted.revision(),
						Placement.spread(wanted, this.settings.failureDomains()));
			}
			send(current);
		}
	}

	private ScalingPolicy.Load loadOf(String pool) {
		return this.presence.pools(this.driver.nowMs())
			.stream()
			.filter((load) -> load.pool().equals(pool))
			.map((load) -> new ScalingPolicy.Load(load.queuedCount(), load.runningCount()))
			.findFirst()
			.orElse(new ScalingPolicy.Load(0, 0));
	}

	private void send(TargetOrder order) throws ServiceException {
		Sent sent = this.sentOrders.get(order.pool());
		long nowMs = this.driver.nowMs();
		if (sent != null && sent.orderNumber() == order.orderNumber() && nowMs - sent.atMs() < RESEND_MS) {
			return;
		}
		long term = requireLease();
		this.platform.sendOrder(order, term);
		this.sentOrders.put(order.pool(), new Sent(order.orderNumber(), nowMs));
		if (sent == null || sent.orderNumber() != order.orderNumber()) {
			LOGGER.atInfo()
				.log("event=targets_ordered pool=%s order=%d counts=%s", order.pool(), order.orderNumber(),
						order.countsByFailureDomain());
		}
	}

	private void closeWindow() throws ServiceException {
		long windowMs = this.settings.usageWindowMs();
		long dueMs = this.wallClockMs.getAsLong() - this.settings.usageGraceMs();
		long endMs = dueMs - Math.floorMod(dueMs, windowMs);
		long closedUntilMs = read((state) -> state.usage().closedUntilMs());
		if (closedUntilMs < endMs) {
			long startMs = (closedUntilMs > 0) ? closedUntilMs : endMs - windowMs;
			commit(new Command.CloseWindow(startMs, startMs + windowMs));
		}
	}

	private void reportUsage() throws ServiceException {
		Optional<UsageWindow> due = read((state) -> state.usage().oldestUnacknowledged());
		if (due.isPresent()) {
			this.platform.reportUsage(due.get(), requireLease());
			commit(new Command.AcknowledgeWindow(due.get().startMs()));
			LOGGER.atInfo()
				.log("event=usage_reported window_start_ms=%d figures=%d", due.get().startMs(),
						due.get().figures().size());
		}
	}

	private long requireLease() throws ServiceException {
		ReplicaStatus status = this.driver.status();
		if (!status.holdsLease(this.driver.nowMs()) || status.term() != this.dutiesTerm) {
			throw ServiceException.of(ResultCode.NOT_LEADER, "the lease is gone");
		}
		return status.term();
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
			throw ServiceException.of(ResultCode.SHUTTING_DOWN, "interrupted");
		}
		catch (TimeoutException ex) {
			throw ServiceException.of(ResultCode.CALL_TIMED_OUT, "no commit");
		}
		catch (ExecutionException ex) {
			throw (ex.getCause() instanceof ServiceException failure) ? failure
					: ServiceException.of(ResultCode.INTERNAL, String.valueOf(ex.getCause()));
		}
	}

	private record Sent(long orderNumber, long atMs) {
	}

}
