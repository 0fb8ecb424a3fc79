package org.zinniatack.direct.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.control.ControlService;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.ItemLengthEstimator;
import org.zinniatack.core.job.ItemOrder;
import org.zinniatack.core.job.ItemPlacement;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.MovePolicy;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteIndex;
import org.zinniatack.direct.call.CallDispatcher;
import org.zinniatack.direct.http.TargetClient;
import org.zinniatack.direct.target.LoadedVersions;
import org.zinniatack.direct.target.TargetDialect;
import org.zinniatack.direct.target.TargetSelector;
import org.zinniatack.direct.target.TargetStats;
import org.zinniatack.process.Service;

/**
 * Runs the items of all open jobs while this process leads: generates, scores, and
 * commits each result. A new leader goes on with the items that have no result.
 */
public final class JobRunner implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long TICK_MS = 50;

	/**
	 * An item with so many events is probably one of the long ones that decide a step; it
	 * is about the mean of the users' models.
	 */
	private static final int LONG_ITEM_EVENTS = 20;

	/** Enough events that the moving mean of a target's pace has followed a change. */
	private static final int LEAST_EVENTS_TO_MOVE = 3;

	/** What an event takes on the users' engines; it only orders what waits. */
	private static final double USUAL_EVENT_MS = 50;

	/** What a long item loses with a leader is about twice this, and the election. */
	private static final long STORE_INTERVAL_MS = 500;

	/** A lost item waits longer each time, since it may be what brings targets down. */
	private static final int LOSSES_WITHOUT_PAUSE = 3;

	private static final long LOSS_PAUSE_MS = 1_000;

	private final EventLoop loop;

	private final ControlService control;

	private final TargetClient client;

	private final TargetDialect dialect;

	private final TargetSelector targets;

	private final LoadedVersions versions;

	private final ItemScorer scorer;

	private final ItemLog log;

	private final ItemAttempt.Course course = new AttemptCourse();

	private final JobRetention retention;

	private final ItemPlacement placement = ItemPlacement.latencyAware();

	private final ItemLengthEstimator lengths = new ItemLengthEstimator();

	private final Map<JobId, Map<String, ItemRun>> runsByJob = new LinkedHashMap<>();

	private final AtomicBoolean refreshing = new AtomicBoolean();

	private RouteIndex index = new RouteIndex(emptyTable());

	private long term;

	/** The jobs whose stored state was read since this process leads. */
	private volatile Set<JobId> knownJobs = Set.of();

	private @Nullable Future<?> ticking;

	private @Nullable Future<?> storing;

	/**
	 * Returns a runner that is not started.
	 * @param loop the event loop
	 * @param control the control process
	 * @param client the connections to targets
	 * @param dialect how targets are spoken to
	 * @param targets the choice of targets
	 * @param versions the weight versions of targets
	 * @param retentionMs the time for which a job can be read after its submission, in
	 * milliseconds
	 */
	public JobRunner(EventLoop loop, ControlService control, TargetClient client, TargetDialect dialect,
			TargetSelector targets, LoadedVersions versions, long retentionMs) {
		this.loop = loop;
		this.control = control;
		this.client = client;
		this.dialect = dialect;
		this.targets = targets;
		this.versions = versions;
		this.scorer = new ItemScorer(loop, new CallDispatcher(loop, client, dialect, targets), dialect, targets,
				() -> this.index, this::finish);
		this.retention = new JobRetention(loop, control, this::leads, retentionMs);
		this.log = new ItemLog(loop, control, this::leads, this::generateAgain);
	}

	private static org.zinniatack.core.table.RoutingTable emptyTable() {
		return new org.zinniatack.core.table.RoutingTable(0, List.of(), Map.of(), List.of(),
				new org.zinniatack.core.table.CallerLimits(0, 0, 0, 0));
	}

	@Override
	public void start() {
		this.control.addStateListener((state) -> planRefresh());
		this.ticking = this.loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
		this.storing = this.loop.scheduleWithFixedDelay(this::storeProgress, STORE_INTERVAL_MS, STORE_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
		this.retention.start();
	}

	@Override
	public void stop() {
		if (this.ticking != null) {
			this.ticking.cancel(false);
		}
		if (this.storing != null) {
			this.storing.cancel(false);
		}
		this.retention.stop();
		this.loop.execute(this::dropAll);
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private boolean leads() {
		OptionalLong current = this.control.leaseTerm();
		return current.isPresent() && current.getAsLong() == this.term;
	}

	private void planRefresh() {
		if (this.control.leaseTerm().isPresent() && this.refreshing.compareAndSet(false, true)) {
			Set<JobId> known = this.knownJobs;
			this.control.readApplied((state) -> openJobs(state, known)).whenComplete((open, failure) -> {
				this.refreshing.set(false);
				if (open != null) {
					this.loop.execute(() -> refresh(open));
				}
			});
		}
	}

	private static View openJobs(ControlState state, Set<JobId> known) {
		List<Job> all = state.jobs().jobs();
		List<OpenJob> open = all.stream()
			.filter(Job::isOpen)
			.map((job) -> known.contains(job.submission().id()) ? OpenJob.known(job) : OpenJob.of(job, all))
			.toList();
		return new View(open, known, state.routingTable());
	}

	private void refresh(View view) {
		OptionalLong current = this.control.leaseTerm();
		if (current.isEmpty()) {
			dropAll();
			return;
		}
		if (current.getAsLong() != this.term) {
			dropAll();
			if (!view.known().isEmpty()) {
				planRefresh();
				return;
			}
			this.term = current.getAsLong();
			LOGGER.atInfo().log("event=jobs_taken_over term=%d jobs=%d", this.term, view.jobs().size());
		}
		if (view.table() != null && view.table().table().number() != this.index.table().number()) {
			this.index = new RouteIndex(view.table().table());
		}
		Set<JobId> open = new HashSet<>();
		for (OpenJob job : view.jobs()) {
			open.add(job.submission().id());
			addItems(job);
		}
		this.runsByJob.entrySet().removeIf((entry) -> {
			boolean ended = !open.contains(entry.getKey());
			if (ended) {
				drop(entry.getValue());
				LOGGER.atInfo()
					.log("event=job_over job=%s customer=%s items=%d", entry.getKey().name(), entry.getKey().customer(),
							entry.getValue().size());
			}
			return ended;
		});
		this.knownJobs = Set.copyOf(this.runsByJob.keySet());
		dispatch();
	}

	private void addItems(OpenJob job) {
		Map<String, ItemRun> runs = this.runsByJob.get(job.submission().id());
		if (runs == null) {
			runs = new LinkedHashMap<>();
			this.runsByJob.put(job.submission().id(), runs);
			int position = 0;
			for (JobItem item : job.submission().items()) {
				runs.put(item.id(), new ItemRun(job.submission(), item, position++,
						new EventText(this.dialect::weightVersion), nowMs()));
			}
			job.stored().forEach((id, stored) -> Objects.requireNonNull(runsOf(job).get(id)).restore(stored));
			LOGGER.atInfo()
				.log("event=job_opened job=%s customer=%s items=%d finished=%d resumed=%d model=%s oldest_version=%d",
						job.submission().id().name(), job.submission().id().customer(), runs.size(),
						job.finishedIds().size(), job.stored().size(), job.submission().model(),
						job.submission().oldestVersion());
		}
		for (String id : job.finishedIds()) {
			ItemRun run = runs.get(id);
			if (run != null && run.phase != ItemRun.Phase.FINISHED) {
				run.canceller.run();
				run.phase = ItemRun.Phase.FINISHED;
			}
		}
	}

	private Map<String, ItemRun> runsOf(OpenJob job) {
		return this.runsByJob.getOrDefault(job.submission().id(), Map.of());
	}

	private void drop(Map<String, ItemRun> runs) {
		runs.values().forEach((run) -> {
			run.phase = ItemRun.Phase.FINISHED;
			run.canceller.run();
		});
	}

	private void dropAll() {
		this.runsByJob.values().forEach(this::drop);
		this.runsByJob.clear();
		this.knownJobs = Set.of();
		this.log.clear();
		this.term = 0;
	}

	private void tick() {
		try {
			if (this.control.leaseTerm().isEmpty()) {
				if (this.term != 0) {
					LOGGER.atInfo().log("event=jobs_given_up term=%d", this.term);
					dropAll();
				}
				return;
			}
			if (!leads()) {
				planRefresh();
				return;
			}
			moveStalled();
			moveSlow();
			dispatch();
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere().withCause(ex).log("event=job_round_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	/** Moves items on whose targets make no progress. */
	private void moveStalled() {
		long nowMs = nowMs();
		for (Map<String, ItemRun> runs : this.runsByJob.values()) {
			for (ItemRun run : List.copyOf(runs.values())) {
				TargetNotice target = run.target;
				if (run.phase == ItemRun.Phase.GENERATING && target != null && run.isStalled(nowMs)
						&& !this.versions.isLoading(target.id(), run.job.model())) {
					run.canceller.run();
					this.targets.stats(target.id()).recordUnreachable(nowMs);
					lose(run, "no event for " + (nowMs - run.heardAtMs) + " ms, sent " + (nowMs - run.sentAtMs)
							+ " ms ago");
				}
			}
		}
	}

	/**
	 * Moves items from targets that have turned slow to free ones that are much faster.
	 */
	private void moveSlow() {
		Map<String, Integer> longItems = new HashMap<>();
		for (Map<String, ItemRun> runs : this.runsByJob.values()) {
			for (ItemRun run : List.copyOf(runs.values())) {
				TargetNotice target = run.target;
				if (run.phase != ItemRun.Phase.GENERATING || target == null) {
					continue;
				}
				if (run.text.eventCount() > LONG_ITEM_EVENTS) {
					longItems.merge(target.id(), 1, Integer::sum);
				}
				if (run.eventsHere >= LEAST_EVENTS_TO_MOVE && !this.versions.isLoading(target.id(), run.job.model())) {
					moveIfFasterIsFree(run, target);
				}
			}
		}
		this.targets.setLongItemCounts(longItems);
	}

	private void moveIfFasterIsFree(ItemRun run, TargetNotice slow) {
		long nowMs = nowMs();
		Optional<TargetNotice> faster = place(run, slow.pool(), nowMs);
		if (faster.isEmpty()) {
			return;
		}
		TargetStats from = this.targets.stats(slow.id());
		TargetStats to = this.targets.stats(faster.get().id());
		MovePolicy.RunningItem item = new MovePolicy.RunningItem(run.text.eventCount(), expectedEvents(run),
				run.moveCount);
		if (MovePolicy.isWorthMoving(item, from.speed(), to.speed(), nowMs)) {
			run.moveCount++;
			from.recordMove(nowMs);
			to.recordMove(nowMs);
			move(run, "slow");
		}
	}

	private double expectedEvents(ItemRun run) {
		return this.lengths.expectedEvents(run.job.model(), run.item.expectedTokens());
	}

	private void move(ItemRun run, String reason) {
		TargetNotice from = run.target;
		run.canceller.run();
		LOGGER.atInfo()
			.log("event=item_moved job=%s item=%s from=%s event_ms=%.0f events=%d reason=%s", run.job.id().name(),
					run.item.id(), (from != null) ? from.id() : "",
					(from != null) ? this.targets.stats(from.id()).eventMs() : 0, run.text.eventCount(), reason);
		waitAgain(run, 0);
	}

	/**
	 * Moves the long items of a model away from a target that is about to load it, while
	 * others have room.
	 * @param targetId the id of the target
	 * @param model the model
	 */
	public void moveLongItems(String targetId, String model) {
		for (Map<String, ItemRun> runs : this.runsByJob.values()) {
			for (ItemRun run : List.copyOf(runs.values())) {
				TargetNotice target = run.target;
				boolean concerned = run.phase == ItemRun.Phase.GENERATING && target != null
						&& target.id().equals(targetId) && run.job.model().equals(model);
				if (concerned && run.text.eventCount() > LONG_ITEM_EVENTS
						&& place(run, target.pool(), nowMs()).isPresent()) {
					move(run, "load");
					dispatch();
				}
			}
		}
	}

	private void dispatch() {
		long nowMs = nowMs();
		List<ItemRun> waiting = new ArrayList<>();
		for (Map<String, ItemRun> runs : this.runsByJob.values()) {
			for (ItemRun run : runs.values()) {
				if (run.phase == ItemRun.Phase.WAITING && run.notBeforeMs <= nowMs) {
					waiting.add(run);
				}
			}
		}
		if (waiting.isEmpty() || !leads()) {
			return;
		}
		Map<ItemRun, ItemOrder.WaitingItem> places = new HashMap<>();
		waiting.forEach((run) -> places.put(run, waiting(run)));
		waiting.sort(Comparator.comparing(places::get, ItemOrder.byLatestStart()));
		Set<String> fullPools = new HashSet<>();
		for (ItemRun run : waiting) {
			if (run.phase != ItemRun.Phase.WAITING) {
				continue;
			}
			Optional<Route> route = this.index.routeOf(run.job.host(), run.item.path());
			if (route.isEmpty() || isExpired(run)) {
				finish(run, ItemEnd.givenUp(run), route.isEmpty() ? "no route" : "too old");
				continue;
			}
			if (run.storedWhole && isUsable(run, route.get())) {
				generated(run, route.get());
				continue;
			}
			String pool = route.get().selectPool((run.item.id().hashCode() & 0xffff) / (double) 0x10000);
			String need = pool + ' ' + run.job.oldestVersion() + ' ' + run.job.model();
			if (!fullPools.contains(need)) {
				place(run, pool, nowMs).ifPresentOrElse((target) -> generate(run, route.get(), target),
						() -> fullPools.add(need));
			}
		}
	}

	private ItemOrder.WaitingItem waiting(ItemRun run) {
		long dueAtMs = run.job.submittedAtMs() + run.job.deadlineMs();
		double leftEvents = Math.max(0, expectedEvents(run) - run.text.eventCount());
		return new ItemOrder.WaitingItem(run.job.id().name(), dueAtMs, dueAtMs - leftEvents * USUAL_EVENT_MS,
				run.groupPosition, run.position);
	}

	/** Returns whether a whole output of an earlier job has as few versions as it may. */
	private static boolean isUsable(ItemRun run, Route route) {
		if (route.singleVersion() && run.text.versions().size() != 1) {
			run.beginAgain();
			return false;
		}
		return true;
	}

	private boolean isExpired(ItemRun run) {
		return System.currentTimeMillis() > run.job.submittedAtMs() + run.job.itemLifetimeMs()
				+ JobRetention.CLOCK_MARGIN_MS;
	}

	private Optional<TargetNotice> place(ItemRun run, String pool, long nowMs) {
		Map<String, TargetNotice> free = new HashMap<>();
		List<ItemPlacement.Candidate> candidates = new ArrayList<>();
		for (TargetNotice target : this.targets.ready(pool)) {
			TargetStats stats = this.targets.stats(target.id());
			if (stats.isUsable(nowMs) && stats.outstandingCount() < target.slotCount()
					&& !this.versions.isLoading(target.id(), run.job.model())
					&& this.versions.version(target, run.job.model()).orElse(0) >= run.job.oldestVersion()) {
				free.put(target.id(), target);
				candidates.add(new ItemPlacement.Candidate(target.id(), this.targets.utilization(target, nowMs),
						stats.eventMs(), runsSamePrompt(run, target)));
			}
		}
		return this.placement.choose(candidates).map((chosen) -> free.get(chosen.id()));
	}

	private boolean runsSamePrompt(ItemRun run, TargetNotice target) {
		return !run.item.promptKey().isEmpty() && this.runsByJob.getOrDefault(run.job.id(), Map.of())
			.values()
			.stream()
			.anyMatch((other) -> other.target != null && other.target.id().equals(target.id())
					&& other.item.promptKey().equals(run.item.promptKey()));
	}

	private void generate(ItemRun run, Route route, TargetNotice target) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, run.item.path(),
				Unpooled.wrappedBuffer(run.item.body()));
		run.item.headers().forEach(request.headers()::set);
		request.headers().set(HttpHeaderNames.HOST, run.job.host());
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, run.item.body().length);
		this.dialect.setRequestId(request.headers(), run.item.id());
		this.dialect.setSystemHeaders(request.headers(), new TargetDialect.RequestContext(target.id(),
				run.job.id().customer(), ItemRun.RUN_LIMIT_MS, run.text.lastId()));
		run.phase = ItemRun.Phase.GENERATING;
		run.target = target;
		run.beginAttempt(nowMs());
		this.targets.stats(target.id()).recordSent();
		ItemAttempt attempt = new ItemAttempt(this.loop, this.dialect, this.versions, this.targets, this.course, run,
				route, target);
		Runnable cancelSending = this.client.send(target.address(), request, attempt);
		run.canceller = () -> {
			attempt.end();
			cancelSending.run();
		};
	}

	private void lose(ItemRun run, String detail) {
		TargetNotice target = run.target;
		LOGGER.atInfo()
			.log("event=item_lost job=%s item=%s target=%s events=%d losses=%d detail=\"%s\"", run.job.id().name(),
					run.item.id(), (target != null) ? target.id() : "", run.text.eventCount(), run.lossCount, detail);
		run.lossCount++;
		long pauseMs = (run.lossCount > LOSSES_WITHOUT_PAUSE) ? LOSS_PAUSE_MS : 0;
		waitAgain(run, pauseMs);
	}

	private void waitAgain(ItemRun run, long pauseMs) {
		run.phase = ItemRun.Phase.WAITING;
		run.target = null;
		run.canceller = () -> {
		};
		run.notBeforeMs = nowMs() + pauseMs;
		this.loop.execute(this::dispatchIfLeading);
	}

	/** Generates an item anew whose result the log could not take. */
	private void generateAgain(ItemRun run) {
		run.beginAgain();
		waitAgain(run, 0);
	}

	private void storeProgress() {
		if (leads()) {
			this.runsByJob.forEach((id, runs) -> this.log.storeProgress(id, runs.values()));
		}
	}

	private void dispatchIfLeading() {
		if (leads()) {
			dispatch();
		}
	}

	private void generated(ItemRun run, Route route) {
		run.generatedAtMs = nowMs();
		run.target = null;
		if (run.storedWhole) {
			run.startedAtMs = run.generatedAtMs;
		}
		else {
			this.lengths.recordLength(run.job.model(), run.item.expectedTokens(), run.text.eventCount());
		}
		if (run.item.scoring() == null) {
			finish(run, run.end(""), "generated");
			return;
		}
		run.phase = ItemRun.Phase.SCORING;
		this.scorer.score(run);
		this.loop.execute(this::dispatchIfLeading);
	}

	private void finish(ItemRun run, ItemEnd end, String reason) {
		ItemResult result = end.result();
		run.phase = ItemRun.Phase.COMMITTING;
		run.target = null;
		run.canceller = () -> {
		};
		LOGGER.atInfo()
			.log("event=item_%s job=%s item=%s customer=%s events=%d expected_tokens=%d versions=%s failures=%d losses=%d waited_ms=%d generated_ms=%d scored_ms=%d reason=\"%s\"",
					result.completed() ? "completed" : "given_up", run.job.id().name(), run.item.id(),
					run.job.id().customer(), run.text.eventCount(), run.item.expectedTokens(), result.versions(),
					run.failureCount, run.lossCount, run.startedAtMs - run.openedAtMs,
					run.generatedAtMs - run.startedAtMs, nowMs() - run.generatedAtMs, reason);
		this.log.add(end);
	}

	/**
	 * What the runner reads of the replicated state.
	 *
	 * @param jobs the open jobs
	 * @param known the jobs of which nothing but the submission was read
	 * @param table the routing table, or null if there is none yet
	 */
	private record View(List<OpenJob> jobs, Set<JobId> known, CurrentRoutingTable.@Nullable Image table) {
	}

	/** Goes on with items after their attempts. */
	private final class AttemptCourse implements ItemAttempt.Course {

		@Override
		public void lose(ItemRun run, String detail) {
			JobRunner.this.lose(run, detail);
		}

		@Override
		public void waitAgain(ItemRun run) {
			JobRunner.this.waitAgain(run, 0);
		}

		@Override
		public void generated(ItemRun run, Route route) {
			JobRunner.this.generated(run, route);
		}

		@Override
		public void finish(ItemRun run, ItemEnd end, String reason) {
			JobRunner.this.finish(run, end, reason);
		}

	}

}
