package org.zinniatack.gateway.job;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.Scoring;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteIndex;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.core.table.RoutingTable;
import org.zinniatack.gateway.call.CallDispatcher;
import org.zinniatack.gateway.http.ScriptedProtocol;
import org.zinniatack.gateway.http.ScriptedTarget;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.http.WireTarget;
import org.zinniatack.gateway.target.TargetSelector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link ItemScorer}: the items of a step complete in bursts, and their scoring
 * calls share a few targets with callers.
 */
class ItemScorerTests {

	private static final int SLOT_COUNT = 8;

	private static final int ITEM_COUNT = 20;

	private static final int ITEM_ATTEMPTS = 4;

	private static final long WAIT_MS = 10_000;

	private static final long POLL_MS = 10;

	/** Time for further calls to arrive, if any were sent. */
	private static final long SETTLE_MS = 300;

	private static final String SCORED_ANSWER = ScriptedTarget.answer("r", "seal: s\r\n", "fine");

	private static final String NOT_FOUND = SCORED_ANSWER.replace("200 OK", "404 Not Found");

	private static final String FAILED_ANSWER = SCORED_ANSWER.replace("200 OK", "500 Internal Server Error");

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final ScriptedProtocol protocol = new ScriptedProtocol();

	private final TargetClient client = new TargetClient(this.loop, this.protocol);

	private final Queue<String> finished = new ConcurrentLinkedQueue<>();

	private final Queue<String> scores = new ConcurrentLinkedQueue<>();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private ItemScorer scorer(ScriptedTarget target) {
		return scorer(target, SLOT_COUNT);
	}

	private ItemScorer scorer(ScriptedTarget target, int slotCount) {
		return scorer(target.address(), slotCount);
	}

	private ItemScorer scorer(String address, int slotCount) {
		TargetNotice notice = new TargetNotice("t", 1, 1, "p", address, "a", TargetNotice.State.READY, slotCount,
				Map.of());
		TargetSelector targets = new TargetSelector((pool) -> List.of(notice), "a", this.client::hasIdleConnection,
				(leaving) -> {
				});
		RouteIndex index = new RouteIndex(new RoutingTable(1,
				List.of(route("/p/", RouteKind.JOB, ITEM_ATTEMPTS), route("/s/", RouteKind.IDEMPOTENT, 2)), Map.of(),
				List.of(), new CallerLimits(1, 1, 1, 1)));
		return new ItemScorer(this.loop, new CallDispatcher(this.loop, this.client, this.protocol, targets),
				this.protocol, targets, () -> index, (run, end, reason) -> {
					this.finished.add(run.job.id().name());
					this.scores.add(end.result().score());
				});
	}

	private static Route route(String prefix, RouteKind kind, int maximumAttempts) {
		return new Route(prefix, "h", prefix, kind, false, true, 5_000, 2_000, 0, maximumAttempts,
				List.of(new PoolShare("p", 1)), 0, 0, false);
	}

	private static ItemRun run(String job, long submittedAtMs) {
		JobItem item = new JobItem("i", "g", "/p/", Map.of(), new byte[0], "", 0,
				new Scoring("r", "h", "/s/", new byte[0]));
		JobSubmission submission = new JobSubmission(new JobId("c", job), "h", "m", 1, submittedAtMs, 7_500, 40_000,
				List.of(item));
		ItemRun run = new ItemRun(submission, item, 0, new EventText((line) -> OptionalLong.empty()), 0);
		run.phase = ItemRun.Phase.SCORING;
		return run;
	}

	private void scoreBurst(ItemScorer scorer) {
		this.loop.execute(() -> {
			for (int item = 0; item < ITEM_COUNT; item++) {
				scorer.score(run("j", 0));
			}
		});
	}

	private void awaitFinished(int count) throws InterruptedException {
		for (long waitedMs = 0; this.finished.size() < count && waitedMs < WAIT_MS; waitedMs += POLL_MS) {
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	@Test
	void aBurstLeavesHalfOfTheSlotsToCallers() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.SILENCE)) {
			scoreBurst(scorer(target));
			for (long waitedMs = 0; target.requests().size() < SLOT_COUNT / 2
					&& waitedMs < WAIT_MS; waitedMs += POLL_MS) {
				TimeUnit.MILLISECONDS.sleep(POLL_MS);
			}
			TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
			assertThat(target.requests(), hasSize(SLOT_COUNT / 2));
		}
	}

	@Test
	void allItemsOfABurstAreScored() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(SCORED_ANSWER)) {
			scoreBurst(scorer(target));
			awaitFinished(ITEM_COUNT);
			assertThat(this.finished, hasSize(ITEM_COUNT));
			assertThat(target.requests().size(), is(ITEM_COUNT));
		}
	}

	/** Of two concurrent calls one never ends, so the others run one after another. */
	@Test
	void itemsOfTheJobThatIsDueFirstAreScoredFirst() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.SILENCE, SCORED_ANSWER)) {
			ItemScorer scorer = scorer(target, 2);
			this.loop.execute(() -> {
				scorer.score(run("first", 0));
				scorer.score(run("first", 0));
				scorer.score(run("later", 9_000));
				scorer.score(run("sooner", 1_000));
			});
			awaitFinished(3);
			assertThat(this.finished, contains("first", "sooner", "later"));
		}
	}

	@Test
	void anItemThatIsGivenUpWhileItWaitsIsNotCalled() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(ScriptedTarget.SILENCE)) {
			ItemScorer scorer = scorer(target);
			this.loop.execute(() -> {
				for (int item = 0; item < SLOT_COUNT / 2; item++) {
					scorer.score(run("j", 0));
				}
				ItemRun waiting = run("j", 0);
				scorer.score(waiting);
				waiting.canceller.run();
			});
			TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
			assertThat(target.requests(), hasSize(SLOT_COUNT / 2));
		}
	}

	/** A target that never had a score got the same call every 100 ms without an end. */
	@Test
	void aCallWithoutAScoreIsRepeatedAtGrowingIntervals() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(NOT_FOUND)) {
			ItemScorer scorer = scorer(target);
			this.loop.execute(() -> scorer.score(run("j", 0)));
			TimeUnit.MILLISECONDS.sleep(2_000);
			assertThat(target.requests().size(), is(both(greaterThan(2)).and(lessThan(7))));
			assertThat(this.finished, is(empty()));
		}
	}

	@Test
	void anItemIsOwedWhileItsScoreIsNotFound() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(NOT_FOUND, NOT_FOUND, NOT_FOUND, SCORED_ANSWER)) {
			ItemScorer scorer = scorer(target);
			this.loop.execute(() -> scorer.score(run("j", 0)));
			awaitFinished(1);
			assertThat(this.scores, contains("s"));
		}
	}

	/** An item was given up after as many failures as the route of its call allows. */
	@Test
	void aFailedScoreIsRepeatedAsOftenAsTheRouteOfTheItemAllows() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(FAILED_ANSWER, FAILED_ANSWER, FAILED_ANSWER, SCORED_ANSWER)) {
			ItemScorer scorer = scorer(target);
			this.loop.execute(() -> scorer.score(run("j", 0)));
			awaitFinished(1);
			assertThat(this.scores, contains("s"));
		}
	}

	@Test
	void anItemWhoseScoreAlwaysFailsIsGivenUp() throws Exception {
		try (ScriptedTarget target = new ScriptedTarget(FAILED_ANSWER)) {
			ItemScorer scorer = scorer(target);
			this.loop.execute(() -> scorer.score(run("j", 0)));
			awaitFinished(1);
			assertThat(this.scores, contains(""));
			assertThat(target.requests().size(), is(ITEM_ATTEMPTS));
		}
	}

	// Guards against an item that is given up because the late copy of a failure counts
	// as another failure.
	@Test
	void aLateCopyOfAFailureDoesNotCountAgain() throws Exception {
		String failure = "HTTP/1.1 500 Bad\r\nid: r\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n";
		AtomicInteger requests = new AtomicInteger();
		try (WireTarget target = new WireTarget((wire) -> {
			wire.readHead();
			if (requests.incrementAndGet() > 1) {
				wire.write(SCORED_ANSWER);
			}
			wire.write(failure);
			wire.readHead();
			wire.write(failure);
			wire.readHead();
		})) {
			ItemScorer scorer = scorer(target.address(), SLOT_COUNT);
			ItemRun run = run("j", 0);
			this.loop.execute(() -> scorer.score(run));
			awaitFinished(1);
			assertThat(this.finished, contains("j"));
			assertThat(run.scoringFailureCount, is(1));
		}
	}

}
