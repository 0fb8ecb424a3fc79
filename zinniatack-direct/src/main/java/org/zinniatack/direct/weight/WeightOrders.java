package org.zinniatack.direct.weight;

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
import org.zinniatack.direct.http.RequestFailure;
import org.zinniatack.direct.http.ResponseListener;
import org.zinniatack.direct.http.TargetClient;
import org.zinniatack.direct.target.LoadedVersions;
import org.zinniatack.direct.target.TargetDialect;
import org.zinniatack.direct.target.TargetSelector;
import org.zinniatack.process.Service;

/**
 * Orders targets to load announced weight versions while this process leads, a few at a
 * time. Each order names the number of orders that its target has accepted, so that one
 * that is carried out late changes nothing.
 */
public final class WeightOrders implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long TICK_MS = 100;

	/** More loads at once take longer each. */
	private static final double LOADING_SHARE = 0.3;

	private static final int FEWEST_LOADING = 2;

	/** An answer to a report or an order comes within a round trip. */
	private static final long CALL_TIMEOUT_MS = 800;

	/** What a target usually takes to load. */
	private static final long USUAL_LOAD_MS = 950;

	/** Two announcements and the time that a load may take longer. */
	private static final long ANNOUNCEMENT_MS = 4_000;

	private static final long ASK_AGAIN_MS = 400;

	private static final long RETRY_MS = 500;

	/** Enough jobs that one unusual step moves no targets. */
	private static final int JOBS_A_MODEL = 3;

	/** More than arrive between two looks. */
	private static final int NEWEST_JOBS = 64;

	/** A report lists each run of a target with about a hundred bytes. */
	private static final long MAXIMUM_REPORT_BYTES = 256 * 1024;

	private static final int ACCEPTED = 202;

	private static final int HOLDS_ALREADY = 200;

	private static final int HIGHER_FENCE_SEEN = 412;

	private final EventLoop loop;

	private final ControlService control;

	private final TargetClient client;

	private final TargetDialect dialect;

	private final TargetSelector targets;

	private final LoadedVersions versions;

	private final LongItemMover mover;

	private final Map<String, StepVersions> stepsByModel = new HashMap<>();

	/** At most one load a target, since a target carries out one order at a time. */
	private final Map<String, Load> loadsByTarget = new HashMap<>();

	private final AtomicBoolean reading = new AtomicBoolean();

	private long term;

	/**
	 * A term in which a target has seen a higher fencing number; it gives no more orders.
	 */
	private long refusedTerm = -1;

	private @Nullable Future<?> ticking;

	/**
	 * Returns a service that is not started.
	 * @param loop the event loop
	 * @param control the control process
	 * @param client the connections to targets
	 * @param dialect how targets are spoken to
	 * @param targets the targets
	 * @param versions the weight versions of targets, which this service keeps
	 * @param mover moves runs that a load would pause
	 */
	public WeightOrders(EventLoop loop, ControlService control, TargetClient client, TargetDialect dialect,
			TargetSelector targets, LoadedVersions versions, LongItemMover mover) {
		this.loop = loop;
		this.control = control;
		this.client = client;
		this.dialect = dialect;
		this.targets = targets;
		this.versions = versions;
		this.mover = mover;
	}

	@Override
	public void start() {
		this.ticking = this.loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		if (this.ticking != null) {
			this.ticking.cancel(false);
		}
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private void tick() {
		OptionalLong current = this.control.leaseTerm();
		if (current.isEmpty()) {
			forgetLoads();
			return;
		}
		if (current.getAsLong() != this.term) {
			forgetLoads();
			this.stepsByModel.clear();
			this.term = current.getAsLong();
		}
		if (this.reading.compareAndSet(false, true)) {
			this.control.readApplied(Announced::of).whenComplete((announced, failure) -> {
				this.reading.set(false);
				if (announced != null) {
					this.loop.execute(() -> order(announced));
				}
			});
		}
	}

	private void forgetLoads() {
		this.loadsByTarget.values().forEach((load) -> setLoading(load, false));
		this.loadsByTarget.clear();
	}

	private void order(Announced announced) {
		RoutingTable table = announced.table();
		if (table == null || !leads()) {
			return;
		}
		announced.steps()
			.forEach((model, steps) -> this.stepsByModel.computeIfAbsent(model, (absent) -> new StepVersions())
				.observe(announced.weights().getOrDefault(model, 0L), steps));
		for (Pool pool : table.pools().values()) {
			Map<String, Long> needs = new TreeMap<>(announced.needs());
			needs.keySet().retainAll(pool.models());
			if (!needs.isEmpty()) {
				orderPool(pool, needs, announced.weights(), keepsRunning(table, pool));
			}
		}
	}

	private void setLoading(Load load, boolean isLoading) {
		this.versions.setLoading(load.target.id(), load.model, isLoading);
	}

	private static boolean keepsRunning(RoutingTable table, Pool pool) {
		return table.routes()
			.stream()
			.filter((route) -> route.shares().stream().anyMatch((share) -> share.pool().equals(pool.name())))
			.noneMatch(Route::singleVersion);
	}

	private void orderPool(Pool pool, Map<String, Long> needs, Map<String, Long> weights, boolean keepRunning) {
		Map<String, TargetNotice> ready = new HashMap<>();
		this.targets.ready(pool.name()).forEach((target) -> ready.put(target.id(), target));
		this.loadsByTarget.values().removeIf((load) -> isOver(load, pool, ready.values()));
		Map<String, Integer> shares = ModelShares.targetsByModel(ready.size(), needs);
		beginLoads(pool, ready, needs.keySet(), shares, weights, keepRunning, true);
		beginLoads(pool, ready, needs.keySet(), shares, weights, keepRunning, false);
	}

	/** Begins the loads of all models that are urgent, or those that are not. */
	private void beginLoads(Pool pool, Map<String, TargetNotice> ready, Collection<String> models,
			Map<String, Integer> shares, Map<String, Long> weights, boolean keepRunning, boolean urgent) {
		int limit = Math.max(FEWEST_LOADING, (int) (LOADING_SHARE * ready.size()));
		for (String model : models) {
			long newest = weights.getOrDefault(model, 0L);
			LoadPlan.Demand need = new LoadPlan.Demand(model, newest,
					this.stepsByModel.computeIfAbsent(model, (absent) -> new StepVersions()).oldestUsable(newest),
					shares.get(model));
			List<ModelShares.TargetVersions> holders = ready.values()
				.stream()
				.filter((target) -> this.targets.stats(target.id()).isUsable(nowMs()))
				.map((target) -> holder(target, models))
				.toList();
			for (LoadPlan.Load load : LoadPlan.loads(need, holders)) {
				boolean canWait = !load.urgent() && this.targets.stats(load.id()).longItemCount() > 0;
				if (load.urgent() == urgent && !canWait && loading(pool.name()) < limit
						&& !this.loadsByTarget.containsKey(load.id())) {
					begin(ready.get(load.id()), pool.name(), model, newest, keepRunning);
				}
			}
		}
	}

	/** Returns how many targets of a pool load a model. */
	private long loading(String pool) {
		return this.loadsByTarget.values().stream().filter((load) -> load.pool.equals(pool)).count();
	}

	private ModelShares.TargetVersions holder(TargetNotice target, Collection<String> models) {
		Map<String, Long> held = new HashMap<>();
		models
			.forEach((model) -> this.versions.version(target, model).ifPresent((version) -> held.put(model, version)));
		Load load = this.loadsByTarget.get(target.id());
		if (load != null) {
			held.merge(load.model, load.version, Math::max);
		}
		return new ModelShares.TargetVersions(target.id(), held, this.targets.stats(target.id()).outstandingCount());
	}

	/** Ends what concerns a target that has left or started again. */
	private boolean isOver(Load load, Pool pool, Collection<TargetNotice> ready) {
		boolean over = load.pool.equals(pool.name()) && ready.stream()
			.noneMatch((target) -> target.id().equals(load.target.id()) && target.bornMs() == load.target.bornMs());
		if (over) {
			setLoading(load, false);
		}
		return over;
	}

	private void begin(TargetNotice target, String pool, String model, long version, boolean keepRunning) {
		Load load = new Load(target, pool, model, version, keepRunning);
		this.loadsByTarget.put(target.id(), load);
		setLoading(load, true);
		if (keepRunning) {
			this.mover.moveLongItems(target.id(), model);
		}
		ask(load);
	}

	private boolean leads() {
		OptionalLong current = this.control.leaseTerm();
		return current.isPresent() && current.getAsLong() == this.term && this.term != this.refusedTerm;
	}

	private boolean isCurrent(Load load) {
		return this.loadsByTarget.get(load.target.id()) == load;
	}

	/** Asks for the target's state, then orders or ends. */
	private void ask(Load load) {
		if (!isCurrent(load) || !leads()) {
			return;
		}
		send(load, this.dialect.reportRequest(load.target.id()), (status, body) -> {
			try {
				onReport(load, status, body);
			}
			catch (ServiceException ex) {
				LOGGER.atWarning()
					.log("event=report_unreadable target=%s code=%d detail=\"%s\"", load.target.id(),
							ex.code().number(), ex.getMessage());
				abandon(load);
			}
		});
	}

	private void onReport(Load load, int status, byte[] body) throws ServiceException {
		if (status != HOLDS_ALREADY) {
			abandon(load);
			return;
		}
		TargetDialect.TargetReport report = this.dialect.report(body);
		long loaded = report.weightVersions().getOrDefault(load.model, 0L);
		if (loaded > 0) {
			this.versions.recordVersion(load.target, load.model, loaded);
		}
		if (loaded >= load.version) {
			end(load, "loaded");
		}
		else if (report.busy()) {
			later(load, ASK_AGAIN_MS);
		}
		else {
			order(load, report.orderCount());
		}
	}

	private void order(Load load, long orderCount) {
		if (!leads()) {
			return;
		}
		LOGGER.atInfo()
			.log("event=weights_ordered target=%s model=%s version=%d term=%d order_count=%d", load.target.id(),
					load.model, load.version, this.term, orderCount);
		send(load, this.dialect.loadRequest(new TargetDialect.LoadOrder(load.target.id(), load.model, load.version,
				load.keepRunning, this.term, orderCount)), (status, body) -> {
					if (status == ACCEPTED) {
						this.loop.schedule(() -> expectLoaded(load), USUAL_LOAD_MS, TimeUnit.MILLISECONDS);
					}
					else if (status == HOLDS_ALREADY) {
						this.versions.recordVersion(load.target, load.model, load.version);
						end(load, "holds already");
					}
					else {
						LOGGER.atInfo().log("event=order_refused target=%s status=%d", load.target.id(), status);
						this.refusedTerm = (status == HIGHER_FENCE_SEEN) ? this.term : this.refusedTerm;
						abandon(load);
					}
				});
	}

	/**
	 * Lets requests go to a target that should have loaded by now: one that has not says
	 * so and runs none. What it then announces of itself is compared later.
	 */
	private void expectLoaded(Load load) {
		if (isCurrent(load)) {
			this.versions.recordVersion(load.target, load.model, load.version);
			end(load, "expected");
			this.loop.schedule(() -> verify(load), ANNOUNCEMENT_MS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Forgets a version that a target still does not announce, so that it is ordered
	 * again.
	 */
	private void verify(Load load) {
		this.targets.ready(load.pool)
			.stream()
			.filter((target) -> target.id().equals(load.target.id()) && target.bornMs() == load.target.bornMs())
			.filter((target) -> target.weightVersions().getOrDefault(load.model, 0L) < load.version)
			.findFirst()
			.ifPresent((target) -> {
				LOGGER.atWarning()
					.log("event=load_not_announced target=%s model=%s version=%d announced=%s", target.id(), load.model,
							load.version, target.weightVersions());
				this.versions.forget(target, load.model);
			});
	}

	private void later(Load load, long delayMs) {
		this.loop.schedule(() -> ask(load), delayMs, TimeUnit.MILLISECONDS);
	}

	private void end(Load load, String outcome) {
		LOGGER.atInfo()
			.log("event=weights_%s target=%s model=%s version=%d", outcome.replace(' ', '_'), load.target.id(),
					load.model, load.version);
		if (isCurrent(load)) {
			this.loadsByTarget.remove(load.target.id());
			setLoading(load, false);
		}
	}

	/** Leaves a target that does not answer or refuses alone for a while. */
	private void abandon(Load load) {
		this.loop.schedule(() -> end(load, "tried again"), RETRY_MS, TimeUnit.MILLISECONDS);
	}

	private void send(Load load, FullHttpRequest request, Reaction reaction) {
		WholeAnswer answer = new WholeAnswer(load, reaction);
		Runnable canceller = this.client.send(load.target.address(), request, answer);
		answer.timeout = this.loop.schedule(() -> {
			canceller.run();
			LOGGER.atInfo().log("event=target_call_timed_out target=%s", load.target.id());
			abandon(load);
		}, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	/** What to do with an answer. */
	private interface Reaction {

		void react(int status, byte[] body);

	}

	/** A target on its way to a version. */
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

	}

	/** Collects an answer. */
	private final class WholeAnswer implements ResponseListener {

		private final Load load;

		private final Reaction reaction;

		private final StringBuilder body = new StringBuilder();

		private @Nullable Future<?> timeout;

		WholeAnswer(Load load, Reaction reaction) {
			this.load = load;
			this.reaction = reaction;
		}

		private void stopTimeout() {
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
		}

		@Override
		public void onHead(HttpResponse head) {
			if (WeightOrders.this.dialect.isLeaving(head)) {
				WeightOrders.this.targets.markLeaving(this.load.target);
			}
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
			this.reaction.react(head.status().code(), this.body.toString().getBytes(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void onFailure(RequestFailure failure) {
			stopTimeout();
			LOGGER.atInfo()
				.log("event=target_call_lost target=%s code=%d detail=\"%s\"", this.load.target.id(),
						ResultCode.PEER_LOST.number(), failure.detail());
			abandon(this.load);
		}

	}

	/**
	 * What was announced.
	 *
	 * @param weights the newest version by model
	 * @param needs the work of each model of which versions or jobs are known
	 * @param steps the newest jobs of each model
	 * @param table the routing table, or null if there is none yet
	 */
	private record Announced(Map<String, Long> weights, Map<String, Long> needs,
			Map<String, List<StepVersions.ObservedStep>> steps, @Nullable RoutingTable table) {

		static Announced of(ControlState state) {
			return new Announced(state.newestWeightVersions(), needs(state), steps(state),
					(state.routingTable() != null) ? state.routingTable().table() : null);
		}

		private static Map<String, List<StepVersions.ObservedStep>> steps(ControlState state) {
			Map<String, List<StepVersions.ObservedStep>> steps = new HashMap<>();
			List<Job> jobs = state.jobs().jobs();
			for (Job job : jobs.subList(Math.max(0, jobs.size() - NEWEST_JOBS), jobs.size())) {
				JobSubmission submission = job.submission();
				if (!submission.model().isEmpty()) {
					steps.computeIfAbsent(submission.model(), (absent) -> new ArrayList<>())
						.add(new StepVersions.ObservedStep(submission.id(), submission.oldestVersion()));
				}
			}
			return steps;
		}

		/** Returns the tokens that the newest jobs of each model expect. */
		private static Map<String, Long> needs(ControlState state) {
			Map<String, Long> needs = new HashMap<>();
			state.newestWeightVersions().keySet().forEach((model) -> needs.put(model, 0L));
			Map<String, Integer> counted = new HashMap<>();
			List<Job> jobs = state.jobs().jobs();
			for (int newest = jobs.size() - 1; newest >= 0; newest--) {
				JobSubmission job = jobs.get(newest).submission();
				if (counted.merge(job.model(), 1, Integer::sum) <= JOBS_A_MODEL) {
					long tokens = job.items().stream().mapToLong((item) -> Math.max(1, item.expectedTokens())).sum();
					needs.merge(job.model(), tokens, Long::sum);
				}
			}
			return needs;
		}

	}

}
