package org.zinniatack.gateway.weight;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.ControlService;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.table.Pool;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.core.weight.LoadPlan;
import org.zinniatack.core.weight.ModelShares;
import org.zinniatack.core.weight.StepVersions;
import org.zinniatack.gateway.http.RequestFailure;
import org.zinniatack.gateway.http.ResponseListener;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.target.LoadedVersions;
import org.zinniatack.gateway.target.TargetProtocol;
import org.zinniatack.gateway.target.TargetSelector;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;

/**
 * Orders targets to load announced weight versions while this process holds the duties of
 * the leader, a few at a time. Each order carries the number of orders that its target
 * has accepted so far, so a target refuses an order that arrives late.
 */
public final class WeightOrders implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long TICK_MS = 100;

	/** Share of a pool that may load at once; loads slow each other down. */
	private static final double LOADING_SHARE = 0.3;

	private static final int MINIMUM_LOADING = 2;

	/** Targets answer report requests and orders within a round trip. */
	private static final long CALL_TIMEOUT_MS = 800;

	/** The usual duration of a load. */
	private static final long TYPICAL_LOAD_MS = 950;

	/** Covers two announcements and a load that takes longer than usual. */
	private static final long VERIFY_DELAY_MS = 4_000;

	private static final long BUSY_RETRY_MS = 400;

	private static final long RETRY_MS = 500;

	/** Enough jobs that one unusual step does not shift targets between models. */
	private static final int JOBS_PER_MODEL = 3;

	/** More jobs than arrive between two reads of the state. */
	private static final int MAXIMUM_STEP_JOBS = 64;

	/** A report takes about a hundred bytes for each running request. */
	private static final long MAXIMUM_REPORT_BYTES = 256 * 1024;

	private static final int ACCEPTED = 202;

	/** The answer to a report request, and to an order for a version already loaded. */
	private static final int OK = 200;

	private static final int HIGHER_FENCING_TOKEN_SEEN = 412;

	private final EventLoop loop;

	private final ControlService control;

	private final TargetClient client;

	private final TargetProtocol protocol;

	private final TargetSelector targets;

	private final LoadedVersions versions;

	private final Map<String, StepVersions> stepsByModel = new HashMap<>();

	/** At most one load per target, since a target executes one order at a time. */
	private final Map<String, Load> loadsByTarget = new HashMap<>();

	private final AtomicBoolean reading = new AtomicBoolean();

	private long term;

	/**
	 * The term in which a target refused an order because it had seen a higher fencing
	 * token. No further orders are sent in that term.
	 */
	private long fencedTerm = -1;

	private @Nullable Future<?> tickTask;

	/**
	 * Returns a service that is not started.
	 * @param loop the event loop
	 * @param control the service that holds the announced versions
	 * @param client the HTTP client for targets
	 * @param protocol the HTTP protocol of the targets
	 * @param targets the targets
	 * @param versions the weight versions of targets, which this service updates
	 */
	public WeightOrders(EventLoop loop, ControlService control, TargetClient client, TargetProtocol protocol,
			TargetSelector targets, LoadedVersions versions) {
		this.loop = loop;
		this.control = control;
		this.client = client;
		this.protocol = protocol;
		this.targets = targets;
		this.versions = versions;
	}

	@Override
	public void start() {
		this.tickTask = this.loop.scheduleWithFixedDelay(ProcessEnd.halt().guard("weights", this::tick), TICK_MS,
				TICK_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		if (this.tickTask != null) {
			this.tickTask.cancel(false);
		}
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private void tick() {
		OptionalLong current = this.control.dutyTerm();
		if (current.isEmpty()) {
			clearLoads();
			return;
		}
		if (current.getAsLong() != this.term) {
			clearLoads();
			this.stepsByModel.clear();
			this.term = current.getAsLong();
		}
		if (this.reading.compareAndSet(false, true)) {
			this.control.readApplied(WeightState::of).whenComplete((weightState, failure) -> {
				this.reading.set(false);
				if (weightState != null) {
					this.loop.execute(() -> startLoads(weightState));
				}
			});
		}
	}

	private void clearLoads() {
		this.loadsByTarget.values().forEach((load) -> setLoading(load, false));
		this.loadsByTarget.clear();
	}

	private void startLoads(WeightState weightState) {
		RoutingTable table = weightState.table();
		if (table == null || !mayOrder()) {
			return;
		}
		weightState.steps()
			.forEach((model, steps) -> this.stepsByModel.computeIfAbsent(model, (absent) -> new StepVersions())
				.observe(weightState.weights().getOrDefault(model, 0L), steps));
		for (Pool pool : table.pools().values()) {
			Map<String, Long> workByModel = new TreeMap<>(weightState.workByModel());
			workByModel.keySet().retainAll(pool.models());
			if (!workByModel.isEmpty()) {
				orderPool(pool, workByModel, weightState.weights(), keepsRequestsRunning(table, pool));
			}
		}
	}

	private void setLoading(Load load, boolean isLoading) {
		this.versions.setLoading(load.target.id(), load.model, isLoading);
	}

	private static boolean keepsRequestsRunning(RoutingTable table, Pool pool) {
		return table.routes()
			.stream()
			.filter((route) -> route.shares().stream().anyMatch((share) -> share.pool().equals(pool.name())))
			.noneMatch(Route::singleVersion);
	}

	private void orderPool(Pool pool, Map<String, Long> workByModel, Map<String, Long> weights, boolean keepRunning) {
		Map<String, TargetNotice> ready = new HashMap<>();
		this.targets.ready(pool.name()).forEach((target) -> ready.put(target.id(), target));
		this.loadsByTarget.values().removeIf((load) -> endIfTargetGone(load, pool, ready.values()));
		Map<String, Integer> shares = ModelShares.targetsByModel(ready.size(), workByModel);
		beginLoads(pool, ready, workByModel.keySet(), shares, weights, keepRunning, true);
		beginLoads(pool, ready, workByModel.keySet(), shares, weights, keepRunning, false);
	}

	/** Starts either the urgent loads of all models or the others. */
	private void beginLoads(Pool pool, Map<String, TargetNotice> ready, Collection<String> models,
			Map<String, Integer> shares, Map<String, Long> weights, boolean keepRunning, boolean urgent) {
		int limit = Math.max(MINIMUM_LOADING, (int) (LOADING_SHARE * ready.size()));
		for (String model : models) {
			long newest = weights.getOrDefault(model, 0L);
			LoadPlan.Demand demand = new LoadPlan.Demand(model, newest,
					this.stepsByModel.computeIfAbsent(model, (absent) -> new StepVersions()).oldestUsable(newest),
					shares.get(model));
			List<ModelShares.TargetVersions> versionsOfTargets = ready.values()
				.stream()
				.filter((target) -> this.targets.stats(target.id()).isUsable(nowMs()))
				.map((target) -> targetVersions(target, models))
				.toList();
			for (LoadPlan.Load load : LoadPlan.loads(demand, versionsOfTargets)) {
				boolean mayStart = load.mayStart(keepRunning, this.targets.stats(load.id()).longItemCount());
				if (load.urgent() == urgent && mayStart && loadingCount(pool.name()) < limit
						&& !this.loadsByTarget.containsKey(load.id())) {
					begin(ready.get(load.id()), pool.name(), model, newest, keepRunning);
				}
			}
		}
	}

	/** Returns the number of targets of a pool that are loading a model. */
	private long loadingCount(String pool) {
		return this.loadsByTarget.values().stream().filter((load) -> load.pool.equals(pool)).count();
	}

	private ModelShares.TargetVersions targetVersions(TargetNotice target, Collection<String> models) {
		Map<String, Long> versionsByModel = new HashMap<>();
		models.forEach((model) -> this.versions.version(target, model)
			.ifPresent((version) -> versionsByModel.put(model, version)));
		Load load = this.loadsByTarget.get(target.id());
		if (load != null) {
			versionsByModel.merge(load.model, load.version, Math::max);
		}
		return new ModelShares.TargetVersions(target.id(), versionsByModel,
				this.targets.stats(target.id()).outstandingCount());
	}

	/**
	 * Ends a load whose target has left or restarted, and returns whether it did so.
	 */
	private boolean endIfTargetGone(Load load, Pool pool, Collection<TargetNotice> ready) {
		boolean gone = load.pool.equals(pool.name()) && ready.stream().noneMatch(load::isAt);
		if (gone) {
			setLoading(load, false);
		}
		return gone;
	}

	private void begin(TargetNotice target, String pool, String model, long version, boolean keepRunning) {
		Load load = new Load(target, pool, model, version, keepRunning);
		this.loadsByTarget.put(target.id(), load);
		setLoading(load, true);
		requestReport(load);
	}

	/** Returns whether this process may order and no target has refused its term. */
	private boolean mayOrder() {
		OptionalLong current = this.control.dutyTerm();
		return current.isPresent() && current.getAsLong() == this.term && this.term != this.fencedTerm;
	}

	private boolean isCurrent(Load load) {
		return this.loadsByTarget.get(load.target.id()) == load;
	}

	/** Requests the state of the target, then orders the load or finishes it. */
	private void requestReport(Load load) {
		if (!isCurrent(load) || !mayOrder() || !isReady(load)) {
			end(load);
			return;
		}
		send(load, this.protocol.reportRequest(load.target.id()), () -> true, (status, body) -> {
			try {
				onReport(load, status, body);
			}
			catch (ServiceException ex) {
				LOGGER.atWarning()
					.log("event=report_unreadable target=%s code=%d detail=\"%s\"", load.target.id(),
							ex.code().number(), ex.getMessage());
				retryLater(load);
			}
		});
	}

	private void onReport(Load load, int status, byte[] body) throws ServiceException {
		if (status != OK) {
			retryLater(load);
			return;
		}
		TargetProtocol.TargetReport report = this.protocol.report(body);
		long loaded = report.weightVersions().getOrDefault(load.model, 0L);
		if (loaded > 0) {
			this.versions.recordVersion(load.target, load.model, loaded);
		}
		if (loaded >= load.version) {
			finish(load, "loaded");
		}
		else if (report.busy()) {
			requestReportLater(load, BUSY_RETRY_MS);
		}
		else {
			sendOrder(load, report.orderCount());
		}
	}

	/** Returns whether the target of a load may still get requests. */
	private boolean isReady(Load load) {
		return this.targets.ready(load.pool).stream().anyMatch(load::isAt);
	}

	private void sendOrder(Load load, long orderCount) {
		if (!mayOrder() || !isReady(load)) {
			end(load);
			return;
		}
		LOGGER.atInfo()
			.log("event=weights_ordered target=%s model=%s version=%d term=%d order_count=%d", load.target.id(),
					load.model, load.version, this.term, orderCount);
		long orderTerm = this.term;
		FullHttpRequest request = this.protocol.loadRequest(new TargetProtocol.LoadOrder(load.target.id(), load.model,
				load.version, load.keepRunning, orderTerm, orderCount));
		send(load, request, () -> mayOrder() && this.term == orderTerm, (status, body) -> {
			if (status == ACCEPTED) {
				this.loop.schedule(() -> expectLoaded(load, "expected"), TYPICAL_LOAD_MS, TimeUnit.MILLISECONDS);
			}
			else if (status == OK) {
				expectLoaded(load, "holds already");
			}
			else {
				LOGGER.atInfo().log("event=order_refused target=%s status=%d", load.target.id(), status);
				this.fencedTerm = (status == HIGHER_FENCING_TOKEN_SEEN) ? this.term : this.fencedTerm;
				retryLater(load);
			}
		});
	}

	/**
	 * Lets requests go to a target that should have loaded by now. If it has not, it says
	 * so and runs none of them. Its announcements are checked later.
	 */
	private void expectLoaded(Load load, String outcome) {
		if (isCurrent(load)) {
			this.versions.recordVersion(load.target, load.model, load.version);
			finish(load, outcome);
			this.loop.schedule(() -> verify(load), VERIFY_DELAY_MS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Discards a version that a target still does not announce, so that it is ordered
	 * again.
	 */
	private void verify(Load load) {
		this.targets.ready(load.pool)
			.stream()
			.filter(load::isAt)
			.filter((target) -> target.weightVersions().getOrDefault(load.model, 0L) < load.version)
			.findFirst()
			.ifPresent((target) -> {
				LOGGER.atWarning()
					.log("event=load_not_announced target=%s model=%s version=%d announced=%s", target.id(), load.model,
							load.version, target.weightVersions());
				this.versions.forget(target, load.model);
			});
	}

	private void requestReportLater(Load load, long delayMs) {
		this.loop.schedule(() -> requestReport(load), delayMs, TimeUnit.MILLISECONDS);
	}

	private void finish(Load load, String outcome) {
		LOGGER.atInfo()
			.log("event=weights_%s target=%s model=%s version=%d", outcome.replace(' ', '_'), load.target.id(),
					load.model, load.version);
		end(load);
	}

	/** Ends a load, also one that was not ordered, so that its target gets requests. */
	private void end(Load load) {
		if (isCurrent(load)) {
			this.loadsByTarget.remove(load.target.id());
			setLoading(load, false);
		}
	}

	/** Waits before the next attempt at a target that refuses or does not answer. */
	private void retryLater(Load load) {
		this.loop.schedule(() -> finish(load, "tried again"), RETRY_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a request to the target of a load.
	 * @param maySend asked last before the request is written
	 */
	private void send(Load load, FullHttpRequest request, BooleanSupplier maySend, AnswerHandler handler) {
		if (!this.targets.permits().take(load.target, nowMs())) {
			request.release();
			requestReportLater(load, BUSY_RETRY_MS);
			return;
		}
		AnswerCollector answer = new AnswerCollector(load, maySend, handler);
		Runnable canceller = this.client.send(load.target.address(), request, answer);
		answer.timeout = this.loop.schedule(() -> {
			canceller.run();
			LOGGER.atInfo().log("event=target_call_timed_out target=%s", load.target.id());
			retryLater(load);
		}, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	/** Callback for the complete answer of a target. */
	private interface AnswerHandler {

		void handle(int status, byte[] body);

	}

	/** A load of a version by a target, from the first report to its end. */
	private static final class Load {

		private final TargetNotice target;

		private final String pool;

		private final String model;

		private final long version;

		private final boolean keepRunning;

		Load(TargetNotice target, String pool, String model, long version, boolean keepRunning) {
			this.target = target;
			this.pool = pool;
			this.model = model;
			this.version = version;
			this.keepRunning = keepRunning;
		}

		/** Returns whether a notice is of the target, in the same start. */
		boolean isAt(TargetNotice notice) {
			return notice.id().equals(this.target.id()) && notice.bornMs() == this.target.bornMs();
		}

	}

	/** Collects the body of an answer and passes it to a handler. */
	private final class AnswerCollector implements ResponseListener {

		private final Load load;

		private final BooleanSupplier maySend;

		private final AnswerHandler handler;

		private final StringBuilder body = new StringBuilder();

		private @Nullable Future<?> timeout;

		AnswerCollector(Load load, BooleanSupplier maySend, AnswerHandler handler) {
			this.load = load;
			this.maySend = maySend;
			this.handler = handler;
		}

		private void stopTimeout() {
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
		}

		@Override
		public boolean maySend() {
			return this.maySend.getAsBoolean();
		}

		@Override
		public void onHead(HttpResponse head) {
			if (WeightOrders.this.protocol.isLeaving(head)) {
				WeightOrders.this.targets.markLeaving(this.load.target);
			}
			WeightOrders.this.targets.markCold(this.load.target, WeightOrders.this.protocol.coldRemainingMs(head));
		}

		@Override
		public long maximumBodyBytes() {
			return MAXIMUM_REPORT_BYTES;
		}

		@Override
		public void onContent(ByteBuf content) {
			this.body.append(new String(ByteBufUtil.getBytes(content), StandardCharsets.ISO_8859_1));
		}

		@Override
		public void onEnd(HttpResponse head) {
			stopTimeout();
			this.handler.handle(head.status().code(), this.body.toString().getBytes(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void onFailure(RequestFailure failure) {
			stopTimeout();
			LOGGER.atInfo()
				.log("event=target_call_lost target=%s code=%d detail=\"%s\"", this.load.target.id(),
						ResultCode.PEER_LOST.number(), failure.detail());
			retryLater(this.load);
		}

	}

	/**
	 * The part of the replicated state that determines loads.
	 *
	 * @param weights the newest announced version by model
	 * @param workByModel the expected tokens of recent jobs for each model that has
	 * versions or jobs
	 * @param steps the newest jobs of each model
	 * @param table the routing table, or null if there is none yet
	 */
	private record WeightState(Map<String, Long> weights, Map<String, Long> workByModel,
			Map<String, List<StepVersions.ObservedStep>> steps, @Nullable RoutingTable table) {

		static WeightState of(ControlState state) {
			return new WeightState(state.newestWeightVersions(), workByModel(state), steps(state),
					(state.routingTable() != null) ? state.routingTable().table() : null);
		}

		private static Map<String, List<StepVersions.ObservedStep>> steps(ControlState state) {
			Map<String, List<StepVersions.ObservedStep>> steps = new HashMap<>();
			List<Job> jobs = state.jobs().jobs();
			for (Job job : jobs.subList(Math.max(0, jobs.size() - MAXIMUM_STEP_JOBS), jobs.size())) {
				JobSubmission submission = job.submission();
				if (!submission.model().isEmpty()) {
					steps.computeIfAbsent(submission.model(), (absent) -> new ArrayList<>())
						.add(new StepVersions.ObservedStep(submission.id(), submission.oldestVersion()));
				}
			}
			return steps;
		}

		/** Returns the tokens expected by the newest jobs of each model. */
		private static Map<String, Long> workByModel(ControlState state) {
			Map<String, Long> workByModel = new HashMap<>();
			state.newestWeightVersions().keySet().forEach((model) -> workByModel.put(model, 0L));
			Map<String, Integer> counted = new HashMap<>();
			List<Job> jobs = state.jobs().jobs();
			for (int newest = jobs.size() - 1; newest >= 0; newest--) {
				JobSubmission job = jobs.get(newest).submission();
				if (counted.merge(job.model(), 1, Integer::sum) <= JOBS_PER_MODEL) {
					long tokens = job.items().stream().mapToLong((item) -> Math.max(1, item.expectedTokens())).sum();
					workByModel.merge(job.model(), tokens, Long::sum);
				}
			}
			return workByModel;
		}

	}

}
