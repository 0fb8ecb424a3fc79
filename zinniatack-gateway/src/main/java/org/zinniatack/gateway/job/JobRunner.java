package org.zinniatack.gateway.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;

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
import org.zinniatack.core.job.ItemPlacement;
import org.zinniatack.core.job.ItemResult;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobRetentionPolicy;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.MovePolicy;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.state.ControlState;
import org.zinniatack.core.table.CurrentRoutingTable;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteIndex;
import org.zinniatack.gateway.call.CallDispatcher;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.target.LoadedVersions;
import org.zinniatack.gateway.target.TargetProtocol;
import org.zinniatack.gateway.target.TargetSelector;
import org.zinniatack.gateway.target.TargetStats;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.process.Service;

/**
 * Generates and scores the items of all open jobs and commits their results while this
 * process is the leader. A new leader resumes the items that have no result.
 */
public final class JobRunner implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long TICK_MS = 50;

	/**
	 * An item with more events is probably one of the long ones that determine the
	 * duration of a step. This is about the mean length of an item.
	 */
	private static final int LONG_ITEM_EVENTS = 20;

	/** Enough events for the moving average of a target's speed to reflect a change. */
	private static final int MINIMUM_EVENTS_TO_MOVE = 3;

	/** When the leader fails, an item loses about twice this and the election time. */
	private static final long STORE_INTERVAL_MS = 500;

	/** The delay of an item that cannot be encoded as a request, for example. */
	private static final long ERROR_PAUSE_MS = 1_000;

	/** The number of items that are opened before the event loop does other work. */
	private static final int SLICE_ITEMS = 1_000;

	private final EventLoop loop;

	private final ControlService control;

	private final TargetClient client;

	private final TargetProtocol protocol;

	private final TargetSelector targets;

	private final LoadedVersions versions;

	private final ItemScorer scorer;

	private final ItemCommitter committer;

	private final ItemAttempt.AttemptHandler handler = new RunnerAttemptHandler();

	private final JobRetention retention;

	private final ItemPlacement placement = ItemPlacement.latencyAware();

	private final ItemLengthEstimator lengthEstimator = new ItemLengthEstimator();

	private final Map<JobId, Map<String, ItemRun>> runsByJob = new LinkedHashMap<>();

	private final Deque<OpeningJob> openingJobs = new ArrayDeque<>();

	private final RunningItems running = new RunningItems();

	private final AtomicBoolean refreshing = new AtomicBoolean();

	private RouteIndex routeIndex = new RouteIndex(emptyTable());

	private final WaitingItems waiting = new WaitingItems(this.lengthEstimator, this.routeIndex);

	private final Map<MovePolicy.MoveReason, AtomicLong> unevenMoveCounts = Map.of(MovePolicy.MoveReason.BECAME_SLOW,
			new AtomicLong(), MovePolicy.MoveReason.SLOW_BY_NATURE, new AtomicLong());

	private boolean openingScheduled;

	private boolean dispatchScheduled;

	private long openedItemCount;

	private long term;

	/** The jobs whose stored state was read since this process became leader. */
	private volatile Set<JobId> knownJobs = Set.of();

	private @Nullable Future<?> tickTask;

	private @Nullable Future<?> storeTask;

	/**
	 * Returns a runner that is not started.
	 * @param loop the event loop
	 * @param control the service that holds the jobs
	 * @param client the HTTP client for targets
	 * @param protocol the HTTP protocol of the targets
	 * @param targets the selector of targets
	 * @param versions the weight versions of targets
	 * @param retentionMs the time for which a job can be read after its submission, in
	 * milliseconds
	 */
	public JobRunner(EventLoop loop, ControlService control, TargetClient client, TargetProtocol protocol,
			TargetSelector targets, LoadedVersions versions, long retentionMs) {
		this.loop = loop;
		this.control = control;
		this.client = client;
		this.protocol = protocol;
		this.targets = targets;
		this.versions = versions;
		this.scorer = new ItemScorer(loop, new CallDispatcher(loop, client, protocol, targets), protocol, targets,
				() -> this.routeIndex, this::finish);
		this.retention = new JobRetention(loop, control, this::isLeader, retentionMs);
		this.committer = new ItemCommitter(loop, control, this::isLeader, this::regenerate);
	}

	private static org.zinniatack.core.table.RoutingTable emptyTable() {
		return new org.zinniatack.core.table.RoutingTable(0, List.of(), Map.of(), List.of(),
				new org.zinniatack.core.table.CallerLimits(0, 0, 0, 0));
	}

	@Override
	public void start() {
		this.control.addStateListener((state) -> requestRefresh());
		this.tickTask = this.loop.scheduleWithFixedDelay(ProcessEnd.halt().guard("jobs", this::tick), TICK_MS, TICK_MS,
				TimeUnit.MILLISECONDS);
		this.storeTask = this.loop.scheduleWithFixedDelay(ProcessEnd.halt().guard("progress", this::storeProgress),
				STORE_INTERVAL_MS, STORE_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.retention.start();
	}

	@Override
	public void stop() {
		if (this.tickTask != null) {
			this.tickTask.cancel(false);
		}
		if (this.storeTask != null) {
			this.storeTask.cancel(false);
		}
		this.retention.stop();
		this.loop.execute(this::cancelAllJobs);
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private boolean isLeader() {
		OptionalLong current = this.control.leaseTerm();
		return current.isPresent() && current.getAsLong() == this.term;
	}

	private void requestRefresh() {
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

	private static StateView openJobs(ControlState state, Set<JobId> known) {
		List<Job> all = state.jobs().jobs();
		List<Job> openJobs = all.stream().filter(Job::isOpen).toList();
		EarlierOutputs earlier = EarlierOutputs
			.of(openJobs.stream().filter((job) -> !known.contains(job.submission().id())).toList(), all);
		List<OpenJob> open = openJobs.stream()
			.map((job) -> known.contains(job.submission().id()) ? OpenJob.known(job) : OpenJob.of(job, earlier))
			.toList();
		return new StateView(open, known, state.routingTable());
	}

	private void refresh(StateView view) {
		OptionalLong current = this.control.leaseTerm();
		if (current.isEmpty()) {
			cancelAllJobs();
			return;
		}
		if (current.getAsLong() != this.term) {
			cancelAllJobs();
			if (!view.known().isEmpty()) {
				requestRefresh();
				return;
			}
			this.term = current.getAsLong();
			LOGGER.atInfo().log("event=jobs_taken_over term=%d jobs=%d", this.term, view.jobs().size());
		}
		if (view.table() != null && view.table().table().number() != this.routeIndex.table().number()) {
			this.routeIndex = new RouteIndex(view.table().table());
			this.waiting.updateRoutes(this.routeIndex);
		}
		Set<JobId> open = new HashSet<>();
		for (OpenJob job : view.jobs()) {
			open.add(job.submission().id());
			if (!this.runsByJob.containsKey(job.submission().id())) {
				open(job);
			}
		}
		this.runsByJob.entrySet().removeIf((entry) -> {
			boolean ended = !open.contains(entry.getKey());
			if (ended) {
				cancelAll(entry.getValue());
				this.waiting.removeJob(entry.getKey());
				LOGGER.atInfo()
					.log("event=job_over job=%s customer=%s items=%d", entry.getKey().name(), entry.getKey().customer(),
							entry.getValue().size());
			}
			return ended;
		});
		this.knownJobs = Set.copyOf(this.runsByJob.keySet());
		openNextItems();
	}

	private void open(OpenJob job) {
		OpeningJob opening = new OpeningJob(job,
				(item) -> new ItemRun.Start(new EventText(this.protocol::weightVersion), nowMs(),
						this.openedItemCount++));
		this.runsByJob.put(job.submission().id(), opening.runs());
		this.openingJobs.add(opening);
	}

	/** Opens a slice of the items of new jobs, and the others after other work. */
	private void openNextItems() {
		int remaining = SLICE_ITEMS;
		for (OpeningJob job = this.openingJobs.peek(); job != null && remaining > 0; job = this.openingJobs.peek()) {
			boolean over = this.runsByJob.get(job.job().submission().id()) != job.runs();
			remaining -= over ? 0 : job.openNext(remaining, this.waiting::add);
			if (over || job.isComplete()) {
				this.openingJobs.remove();
			}
			if (!over && job.isComplete()) {
				logOpened(job);
			}
		}
		dispatch();
		if (!this.openingJobs.isEmpty() && !this.openingScheduled) {
			this.openingScheduled = true;
			this.loop.execute(() -> {
				this.openingScheduled = false;
				openNextItems();
			});
		}
	}

	private static void logOpened(OpeningJob opening) {
		OpenJob job = opening.job();
		LOGGER.atInfo()
			.log("event=job_opened job=%s customer=%s items=%d finished=%d resumed=%d model=%s oldest_version=%d",
					job.submission().id().name(), job.submission().id().customer(), opening.runs().size(),
					job.finishedIds().size(), job.stored().size(), job.submission().model(),
					job.submission().oldestVersion());
	}

	private void cancelAll(Map<String, ItemRun> runs) {
		runs.values().forEach((run) -> {
			run.phase = ItemRun.Phase.FINISHED;
			this.running.remove(run, run.target);
			run.canceller.run();
		});
	}

	private void cancelAllJobs() {
		this.runsByJob.values().forEach(this::cancelAll);
		this.runsByJob.clear();
		this.openingJobs.clear();
		this.waiting.clear();
		this.running.clear();
		this.knownJobs = Set.of();
		this.committer.clear();
		this.term = 0;
	}

	private void tick() {
		try {
			if (this.control.leaseTerm().isEmpty()) {
				if (this.term != 0) {
					LOGGER.atInfo().log("event=jobs_given_up term=%d", this.term);
					cancelAllJobs();
				}
				return;
			}
			if (!isLeader()) {
				requestRefresh();
				return;
			}
			retryStalled();
			this.targets.setLongItemCounts(this.running.countLongerThan(LONG_ITEM_EVENTS));
			moveSlow();
			dispatch();
		}
		catch (RuntimeException ex) {
			LOGGER.atSevere().withCause(ex).log("event=job_round_failed code=%d", ResultCode.INTERNAL.number());
		}
	}

	/** Retries items whose targets make no progress. */
	private void retryStalled() {
		long nowMs = nowMs();
		for (ItemRun run : this.running.all()) {
			TargetNotice target = run.target;
			if (run.phase == ItemRun.Phase.GENERATING && target != null && run.isStalled(nowMs)
					&& !this.versions.isLoading(target.id(), run.job.model())) {
				run.canceller.run();
				this.targets.stats(target.id()).recordUnreachable(nowMs);
				this.targets.paces().onLate(target, run.sentAtMs, nowMs);
				handleLoss(run, "no event for " + (nowMs - run.lastProgressAtMs) + " ms, sent " + (nowMs - run.sentAtMs)
						+ " ms ago");
			}
		}
	}

	/**
	 * Moves items from targets that have become slow to much faster ones with free slots.
	 */
	private void moveSlow() {
		for (ItemRun run : this.running.all()) {
			TargetNotice target = run.target;
			if (run.phase == ItemRun.Phase.GENERATING && target != null
					&& run.attemptEventCount >= MINIMUM_EVENTS_TO_MOVE
					&& !this.versions.isLoading(target.id(), run.job.model())) {
				moveToFasterTarget(run, target);
			}
		}
	}

	private void moveToFasterTarget(ItemRun run, TargetNotice slow) {
		if (this.targets.stats(slow.id()).statesWorkTime()) {
			moveFromUnevenTarget(run, slow);
			return;
		}
		long nowMs = nowMs();
		Optional<TargetNotice> faster = chooseTarget(run, slow.pool(), nowMs);
		if (faster.isEmpty()) {
			return;
		}
		TargetStats from = this.targets.stats(slow.id());
		TargetStats to = this.targets.stats(faster.get().id());
		MovePolicy.RunningItem item = runningItem(run);
		if (MovePolicy.isWorthMoving(item, from.speed(), to.speed(), nowMs)) {
			run.moveCount++;
			from.recordMove(nowMs);
			to.recordMove(nowMs);
			move(run, slow);
		}
	}

	private void moveFromUnevenTarget(ItemRun run, TargetNotice slow) {
		long nowMs = nowMs();
		MovePolicy.UnevenSpeed from = this.targets.stats(slow.id()).unevenSpeed(nowMs);
		MovePolicy.RunningItem item = runningItem(run);
		if (!MovePolicy.mayMove(item, from)) {
			return;
		}
		Optional<TargetNotice> faster = chooseTarget(run, slow.pool(), nowMs);
		if (faster.isEmpty() || faster.get().id().equals(slow.id())) {
			return;
		}
		MovePolicy.UnevenSpeed to = this.targets.stats(faster.get().id()).unevenSpeed(nowMs);
		double othersMs = othersMs(run, to.usualEventMs());
		MovePolicy.MoveReason reason = MovePolicy.moveReason(item, from, to, othersMs, nowMs);
		if (reason != MovePolicy.MoveReason.NONE) {
			this.unevenMoveCounts.get(reason).incrementAndGet();
			LOGGER.atInfo()
				.log("event=item_moved job=%s item=%s from=%s event_ms=%.0f events=%d reason=%s to=%s usual_event_ms=%.0f to_usual_event_ms=%.0f first_event_ms=%.0f expected_events=%.0f others_ms=%.0f moves=%d",
						run.job.id().name(), run.item.id(), slow.id(), from.recent().eventMs(), item.doneEvents(),
						reason.name().toLowerCase(Locale.ROOT), faster.get().id(), from.usualEventMs(),
						to.usualEventMs(), to.firstEventMs(), item.expectedEvents(), othersMs, item.moveCount());
			run.moveCount++;
			this.targets.stats(slow.id()).recordMove(nowMs);
			this.targets.stats(faster.get().id()).recordMove(nowMs);
			run.canceller.run();
			requeue(run, 0);
		}
	}

	/** Returns the remaining time of the other items for which the group waits. */
	private double othersMs(ItemRun run, double waitingEventMs) {
		boolean grouped = !run.item.group().isEmpty();
		return this.runsByJob.getOrDefault(run.job.id(), Map.of())
			.values()
			.stream()
			.filter((other) -> other != run && (!grouped || other.groupPosition == run.groupPosition))
			.mapToDouble((other) -> remainingMs(other, waitingEventMs))
			.max()
			.orElse(0);
	}

	private double remainingMs(ItemRun run, double waitingEventMs) {
		TargetNotice target = run.target;
		double usualEventMs = (target != null) ? this.targets.stats(target.id()).unevenSpeed(nowMs()).usualEventMs()
				: 0;
		return switch (run.phase) {
			case WAITING, GENERATING ->
				runningItem(run).remainingEvents() * ((usualEventMs > 0) ? usualEventMs : waitingEventMs);
			case SCORING, COMMITTING, FINISHED -> 0;
		};
	}

	private MovePolicy.RunningItem runningItem(ItemRun run) {
		return new MovePolicy.RunningItem(run.text.eventCount(), expectedEvents(run), run.moveCount);
	}

	/**
	 * Returns how many items have left targets that state how long work takes. It may be
	 * called on any thread.
	 * @param reason the reason, other than NONE
	 * @return the number of moves since the start of the process
	 */
	public long unevenMoveCount(MovePolicy.MoveReason reason) {
		return this.unevenMoveCounts.get(reason).get();
	}

	private double expectedEvents(ItemRun run) {
		return this.lengthEstimator.expectedEvents(run.job.model(), run.item.expectedTokens());
	}

	private void move(ItemRun run, TargetNotice from) {
		run.canceller.run();
		LOGGER.atInfo()
			.log("event=item_moved job=%s item=%s from=%s event_ms=%.0f events=%d reason=slow", run.job.id().name(),
					run.item.id(), from.id(), this.targets.stats(from.id()).eventMs(), run.text.eventCount());
		requeue(run, 0);
	}

	private void dispatch() {
		if (isLeader() && this.waiting.offer(nowMs(), new RunnerTaker(nowMs()))) {
			scheduleDispatch();
		}
	}

	private void scheduleDispatch() {
		if (!this.dispatchScheduled) {
			this.dispatchScheduled = true;
			this.loop.execute(() -> {
				this.dispatchScheduled = false;
				dispatch();
			});
		}
	}

	private boolean start(ItemRun run, Optional<Route> route, String pool, long nowMs) {
		if (route.isEmpty() || isExpired(run.job)) {
			finish(run, ItemOutcome.givenUp(run), route.isEmpty() ? "no route" : "too old");
			return true;
		}
		if (run.restoredComplete) {
			if (isUsable(run, route.get())) {
				handleGenerated(run, route.get());
			}
			else {
				this.waiting.add(run);
			}
			return true;
		}
		Optional<TargetNotice> target = chooseTarget(run, pool, nowMs)
			.filter((chosen) -> this.targets.permits().take(chosen, nowMs));
		target.ifPresent((chosen) -> generate(run, route.get(), chosen));
		return target.isPresent();
	}

	/**
	 * Returns whether a complete stored output has an allowed number of weight versions,
	 * and restarts the item if not.
	 */
	private static boolean isUsable(ItemRun run, Route route) {
		if (route.singleVersion() && run.text.versions().size() != 1) {
			run.restart();
			return false;
		}
		return true;
	}

	private static boolean isExpired(JobSubmission job) {
		return System.currentTimeMillis() > job.submittedAtMs() + job.itemLifetimeMs()
				+ JobRetentionPolicy.CLOCK_MARGIN_MS;
	}

	private Optional<TargetNotice> chooseTarget(ItemRun run, String pool, long nowMs) {
		List<TargetNotice> loaded = loadedTargets(new WaitingItems.Requirement(pool, run.job.model(),
				run.job.oldestVersion(), run.text.requiredSoftwareVersion()));
		Optional<TargetNotice> usable = placeAt(loaded, run, nowMs, hasSlot(nowMs));
		return usable.isPresent() ? usable : placeAt(loaded, run, nowMs, isLastResort(nowMs));
	}

	private List<TargetNotice> loadedTargets(WaitingItems.Requirement requirement) {
		return this.targets.ready(requirement.pool())
			.stream()
			.filter((target) -> requirement.isMetBySoftwareOf(target)
					&& !this.versions.isLoading(target.id(), requirement.model())
					&& this.versions.version(target, requirement.model()).orElse(0) >= requirement.oldestVersion())
			.toList();
	}

	private BiPredicate<TargetStats, TargetNotice> hasSlot(long nowMs) {
		return (stats, target) -> stats.isUsable(nowMs) && stats.outstandingCount() < target.slotCount()
				&& this.targets.hasRoom(target, nowMs);
	}

	private BiPredicate<TargetStats, TargetNotice> isLastResort(long nowMs) {
		return (stats, target) -> stats.isLastResort(nowMs) && target.slotCount() > 0
				&& this.targets.permits().isAvailable(target, nowMs);
	}

	private Optional<TargetNotice> placeAt(List<TargetNotice> targets, ItemRun run, long nowMs,
			BiPredicate<TargetStats, TargetNotice> condition) {
		double remainingEvents = runningItem(run).remainingEvents();
		double medianMs = this.targets.medianMs(targets, TargetStats::eventSpeed);
		Map<String, TargetNotice> free = new HashMap<>();
		List<ItemPlacement.Candidate> candidates = new ArrayList<>();
		for (TargetNotice target : targets) {
			TargetStats stats = this.targets.stats(target.id());
			if (condition.test(stats, target)) {
				free.put(target.id(), target);
				ItemPlacement.Candidate candidate = new ItemPlacement.Candidate(target.id(),
						this.targets.utilization(target, nowMs), stats.eventMs(),
						this.running.runsSamePrompt(run, target));
				candidates.add(stats.statesWorkTime()
						? candidate.forItem(remainingEvents, stats.expectedEventMs(remainingEvents, medianMs, nowMs))
						: candidate);
			}
		}
		return this.placement.choose(candidates).map((chosen) -> free.get(chosen.id()));
	}

	private void generate(ItemRun run, Route route, TargetNotice target) {
		ItemAttempt attempt = new ItemAttempt(this.loop, this.protocol, this.versions, this.targets, this.handler, run,
				route, target);
		Runnable cancelSending = this.client.send(target.address(), request(run, target), attempt);
		run.phase = ItemRun.Phase.GENERATING;
		run.target = target;
		this.running.add(run, target);
		run.beginAttempt(nowMs());
		this.targets.stats(target.id()).recordSent();
		run.canceller = () -> {
			attempt.end();
			cancelSending.run();
		};
	}

	private FullHttpRequest request(ItemRun run, TargetNotice target) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, run.item.path(),
				Unpooled.wrappedBuffer(run.item.body()));
		run.item.headers().forEach((name, value) -> {
			if (!TargetClient.isHopByHop(name)) {
				request.headers().set(name, value);
			}
		});
		request.headers().set(HttpHeaderNames.HOST, run.job.host());
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, run.item.body().length);
		this.protocol.setRequestId(request.headers(), run.item.id());
		this.protocol.setSystemHeaders(request.headers(), new TargetProtocol.RequestContext(target.id(),
				run.job.id().owner().orElse(null), ItemRun.ATTEMPT_TIMEOUT_MS, run.text.lastEventId()));
		return request;
	}

	private void handleLoss(ItemRun run, String detail) {
		TargetNotice target = run.target;
		LOGGER.atInfo()
			.log("event=item_lost job=%s item=%s target=%s software=%s events=%d losses=%d detail=\"%s\"",
					run.job.id().name(), run.item.id(), (target != null) ? target.id() : "",
					(target != null) ? target.softwareVersion() : "", run.text.eventCount(), run.lossCount, detail);
		int eventCount = run.text.eventCount();
		long pauseMs = run.recordLoss();
		if (run.text.eventCount() < eventCount) {
			logRestart(run, eventCount, "no stream goes on");
		}
		else if (eventCount > 0 && target != null && this.targets.hasAnnouncedOtherSoftware(target)) {
			restart(run, "the target restarted with other software");
		}
		requeue(run, pauseMs);
	}

	private static void restart(ItemRun run, String reason) {
		logRestart(run, run.text.eventCount(), reason);
		run.restart();
	}

	private static void logRestart(ItemRun run, int eventCount, String reason) {
		LOGGER.atInfo()
			.log("event=item_restarted job=%s item=%s events=%d reason=\"%s\"", run.job.id().name(), run.item.id(),
					eventCount, reason);
	}

	private void handleNotSent(ItemRun run, String detail) {
		TargetNotice target = run.target;
		LOGGER.atInfo()
			.log("event=item_not_sent job=%s item=%s target=%s detail=\"%s\"", run.job.id().name(), run.item.id(),
					(target != null) ? target.id() : "", detail);
		requeue(run, 0);
	}

	private void requeue(ItemRun run, long pauseMs) {
		stopRunning(run);
		run.beginWaiting(nowMs());
		run.phase = ItemRun.Phase.WAITING;
		run.canceller = () -> {
		};
		run.notBeforeMs = nowMs() + pauseMs;
		if (this.runsByJob.getOrDefault(run.job.id(), Map.of()).get(run.item.id()) == run) {
			this.waiting.add(run);
		}
		scheduleDispatch();
	}

	private void stopRunning(ItemRun run) {
		this.running.remove(run, run.target);
		run.target = null;
	}

	/** Regenerates an item whose result the log refused. */
	private void regenerate(ItemRun run) {
		run.restart();
		requeue(run, 0);
	}

	private void storeProgress() {
		if (isLeader()) {
			this.running.byJob().forEach(this.committer::storeProgress);
		}
	}

	private void handleGenerated(ItemRun run, Route route) {
		TargetNotice target = run.target;
		if (run.text.isJoined() && target != null && this.targets.hasAnnouncedOtherSoftware(target)) {
			restart(run, "the target restarted with other software");
			requeue(run, 0);
			return;
		}
		run.generatedAtMs = nowMs();
		stopRunning(run);
		if (run.restoredComplete) {
			run.startedAtMs = run.generatedAtMs;
		}
		else {
			this.lengthEstimator.recordLength(run.job.model(), run.item.expectedTokens(), run.text.eventCount());
		}
		if (run.item.scoring() == null) {
			finish(run, run.outcome(""), "generated");
			return;
		}
		run.phase = ItemRun.Phase.SCORING;
		this.scorer.score(run);
		scheduleDispatch();
	}

	private void finish(ItemRun run, ItemOutcome outcome, String reason) {
		ItemResult result = outcome.result();
		run.phase = ItemRun.Phase.COMMITTING;
		stopRunning(run);
		run.canceller = () -> {
		};
		LOGGER.atInfo()
			.log("event=item_%s job=%s item=%s customer=%s events=%d expected_tokens=%d versions=%s failures=%d losses=%d waited_ms=%d generated_ms=%d scored_ms=%d reason=\"%s\"",
					result.completed() ? "completed" : "given_up", run.job.id().name(), run.item.id(),
					run.job.id().customer(), run.text.eventCount(), run.item.expectedTokens(), result.versions(),
					run.failureCount, run.lossCount, run.startedAtMs - run.openedAtMs,
					run.generatedAtMs - run.startedAtMs, nowMs() - run.generatedAtMs, reason);
		this.committer.enqueue(outcome);
	}

	/**
	 * The part of the replicated state that the runner uses.
	 *
	 * @param jobs the open jobs
	 * @param known the jobs of which only the submission was read
	 * @param table the routing table, or null if there is none yet
	 */
	private record StateView(List<OpenJob> jobs, Set<JobId> known, CurrentRoutingTable.@Nullable Image table) {
	}

	/** Starts waiting items in one round. */
	private final class RunnerTaker implements WaitingItems.Taker {

		private final long nowMs;

		RunnerTaker(long nowMs) {
			this.nowMs = nowMs;
		}

		@Override
		public boolean isExpired(JobSubmission job) {
			return JobRunner.isExpired(job);
		}

		@Override
		public boolean hasRoom(WaitingItems.Requirement requirement) {
			BiPredicate<TargetStats, TargetNotice> room = hasSlot(this.nowMs).or(isLastResort(this.nowMs));
			List<TargetNotice> loaded = loadedTargets(requirement);
			boolean hasRoom = loaded.stream()
				.anyMatch((target) -> room.test(JobRunner.this.targets.stats(target.id()), target));
			if (!hasRoom && loaded.stream().anyMatch(this::isLimited)) {
				JobRunner.this.targets.paces().countHeldBack();
			}
			return hasRoom;
		}

		@Override
		public boolean isServed(WaitingItems.Requirement requirement) {
			return JobRunner.this.targets.ready(requirement.pool()).stream().anyMatch(requirement::isMetBySoftwareOf);
		}

		@Override
		public void restart(ItemRun run, boolean served) {
			JobRunner.restart(run, (served ? "no room at" : "no target of") + " its software version");
		}

		private boolean isLimited(TargetNotice target) {
			int outstandingCount = JobRunner.this.targets.stats(target.id()).outstandingCount();
			return outstandingCount < target.slotCount()
					&& !JobRunner.this.targets.paces().hasRoom(target, outstandingCount, true, this.nowMs);
		}

		@Override
		public boolean take(ItemRun run, Optional<Route> route, String pool) {
			try {
				return start(run, route, pool, this.nowMs);
			}
			catch (RuntimeException ex) {
				LOGGER.atSevere()
					.log("event=item_not_dispatched job=%s item=%s code=%d detail=\"%s\"", run.job.id().name(),
							run.item.id(), ResultCode.INTERNAL.number(), ex.getClass().getSimpleName());
				run.notBeforeMs = this.nowMs + ERROR_PAUSE_MS;
				JobRunner.this.waiting.add(run);
				return true;
			}
		}

	}

	/** Forwards the results of attempts to the runner. */
	private final class RunnerAttemptHandler implements ItemAttempt.AttemptHandler {

		@Override
		public void handleLoss(ItemRun run, String detail) {
			JobRunner.this.handleLoss(run, detail);
		}

		@Override
		public void handleNotSent(ItemRun run, String detail) {
			JobRunner.this.handleNotSent(run, detail);
		}

		@Override
		public void requeue(ItemRun run) {
			JobRunner.this.requeue(run, 0);
		}

		@Override
		public void handleGenerated(ItemRun run, Route route) {
			JobRunner.this.handleGenerated(run, route);
		}

		@Override
		public void finish(ItemRun run, ItemOutcome outcome, String reason) {
			JobRunner.this.finish(run, outcome, reason);
		}

	}

}
