package org.zinniatack.gateway.call;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.state.RequestIdentity;
import org.zinniatack.core.state.SuspectedRequests.Standing;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.http.ScriptedProtocol;
import org.zinniatack.gateway.http.ScriptedTarget;
import org.zinniatack.gateway.http.StreamTarget;
import org.zinniatack.gateway.http.StreamTarget.Framing;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.target.TargetSelector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link CallDispatcher} with responses that are cut: at every byte, for each
 * kind of request and framing, by a close and by a reset of the connection.
 */
class CutAnswerTests {

	private static final long WAIT_S = 10;

	private static final String WHOLE = StreamTarget.events(1, StreamTarget.EVENT_COUNT);

	/** A stream that breaks off in its third event. */
	private static final String CUT_STREAM = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\n\r\n" + StreamTarget.events(1, 2)
			+ "id: 3\nda" + ScriptedTarget.THEN_HANG_UP;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final List<TargetNotice> readyTargets = new ArrayList<>();

	private int generation;

	/** Whether a call is suspected from the loss of its first target on. */
	private volatile boolean suspectsAtOnce;

	private final ScriptedProtocol protocol = new ScriptedProtocol();

	private final TargetClient client = new TargetClient(this.loop, this.protocol);

	private final CallDispatcher dispatcher = new CallDispatcher(this.loop, this.client, this.protocol,
			new TargetSelector((pool) -> this.readyTargets, "a", (address) -> true, (target) -> {
			}), new FirstLossGuard());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	/**
	 * Starts anew with targets that have no history, chosen in the order of their start.
	 */
	private void clearTargets() {
		this.readyTargets.clear();
		this.generation++;
	}

	private void addTarget(String name, String address) {
		String id = "%02d-%s".formatted(this.generation, name);
		this.readyTargets.add(new TargetNotice(id, 1, 1, "p", address, "a", TargetNotice.State.READY, 4, Map.of()));
	}

	private ScriptedTarget target(String id, String... script) throws IOException {
		ScriptedTarget target = new ScriptedTarget(script);
		addTarget(id, target.address());
		return target;
	}

	private Outcome run(RouteKind kind, boolean resumable, int maximumAttempts) throws Exception {
		Route route = new Route("r", "h", "/", kind, resumable, true, 5_000, 5_000, 0, maximumAttempts,
				List.of(new PoolShare("p", 1)), 0, 0, false);
		Call call = new Call("r", route, "customer", HttpMethod.POST, "/x", new DefaultHttpHeaders().set("id", "r"),
				new byte[0], 5_000);
		RecordingSink sink = new RecordingSink();
		this.loop.execute(() -> this.dispatcher.dispatch(call, sink));
		return sink.outcome.get(WAIT_S, TimeUnit.SECONDS);
	}

	/** Runs a check for each cut position, or in steps if not all are asked for. */
	private void forEachCut(Framing framing, CutCheck check) throws Exception {
		int step = Boolean.getBoolean("zinniatack.allCuts") ? 1 : 7;
		try (StreamTarget target = new StreamTarget(framing)) {
			addTarget("t1", target.address());
			addTarget("t2", target.address());
			int length = target.response(0).length();
			for (int cut = 0; cut <= length; cut += (isNearBoundary(target, cut)) ? 1 : step) {
				for (boolean reset : new boolean[] { false, true }) {
					target.cutNext(cut, reset);
					check.check(target, new Cut(framing, cut, reset, target.response(0)));
				}
			}
		}
	}

	/** Cuts around the ends of the head, of an event and of the response always count. */
	private static boolean isNearBoundary(StreamTarget target, int cut) {
		String response = target.response(0);
		String around = response.substring(Math.max(0, cut - 2), Math.min(response.length(), cut + 3));
		return around.contains("\n\n") || around.contains("\r\n\r\n") || cut + 3 >= response.length();
	}

	// A target that crashed in the middle of an event made the caller's stream complete.
	@ParameterizedTest
	@EnumSource(Framing.class)
	void aStreamThatMayNotBeResumedIsBrokenAfterItsLastWholeEventWhereverItIsCut(Framing framing) throws Exception {
		forEachCut(framing, (target, cut) -> {
			Outcome outcome = run(RouteKind.STREAM, false, 2);
			assertThat(cut.toString(), outcome, is(in(cut.outcomesWithoutResumption())));
			assertThat(cut.toString(), target.resumedAfter(), is(List.of(0)));
		});
	}

	// Streams that may be resumed were broken, or ended as complete in the middle of an
	// event.
	@ParameterizedTest
	@EnumSource(Framing.class)
	void aStreamThatMayBeResumedIsWholeWhereverItIsCut(Framing framing) throws Exception {
		forEachCut(framing, (target, cut) -> {
			Outcome outcome = run(RouteKind.STREAM, true, 2);
			assertThat(cut.toString(), outcome, is(in(cut.outcomesWithResumption())));
			List<Integer> resumedAfter = target.resumedAfter();
			assertThat(cut.toString(), resumedAfter.get(0), is(0));
			int expected = cut.wholeEventCount();
			if (cut.reset()) {
				assertThat(cut.toString(), resumedAfter.size(), lessThanOrEqualTo(2));
				assertThat(cut.toString(), resumedAfter.get(resumedAfter.size() - 1), lessThanOrEqualTo(expected));
			}
			else {
				assertThat(cut.toString(), resumedAfter, is(cut.looksComplete() ? List.of(0) : List.of(0, expected)));
			}
		});
	}

	@ParameterizedTest
	@EnumSource(Framing.class)
	void aPlainAnswerIsWholeWhereverItIsCutUnlessOnlyItsConnectionMarksItsEnd(Framing framing) throws Exception {
		forEachCut(framing, (target, cut) -> {
			Outcome outcome = run(RouteKind.IDEMPOTENT, false, 2);
			boolean looksWhole = cut.hasHead() && framing == Framing.NONE && !cut.reset();
			assertThat(cut.toString(), outcome,
					is(new Outcome("200 s", looksWhole ? cut.received() : WHOLE, "answered")));
		});
	}

	// The status line and the text of an error stood in the middle of a caller's stream.
	@ParameterizedTest
	@CsvSource({ "500 Bad,seal: f", "500 Bad,x: y", "503 Full,not-run: 1", "503 Full,seal: f", "404 None,seal: f",
			"404 None,x: y", "200 OK,x: y", "202 Taken,seal: f" })
	void nothingOfAnotherAnswerEntersAStreamThatHasBegun(String status, String header) throws Exception {
		String head = "HTTP/1.1 " + status + "\r\nid: r\r\n" + header + "\r\n";
		for (String answer : List.of(head + "Content-Length: 6\r\n\r\nid: 3\n",
				head + "Content-Length: 25\r\n\r\nid: 3\ndata: e3\n\nerror text",
				head + "\r\nid: 3\ndata: e3\n\nerror text" + ScriptedTarget.THEN_HANG_UP)) {
			clearTargets();
			try (ScriptedTarget first = target("t1", CUT_STREAM); ScriptedTarget second = target("t2", answer)) {
				assertThat(run(RouteKind.STREAM, true, 2),
						is(new Outcome("200 s", StreamTarget.events(1, 2), "broken")));
				assertThat(second.requests().size(), is(1));
			}
		}
	}

	@Test
	void afterAnErrorAThirdTargetResumesTheStream() throws Exception {
		String rest = StreamTarget.events(3, 4);
		for (String error : List.of("HTTP/1.1 500 Bad\r\nid: r\r\nContent-Length: 3\r\n\r\nbad",
				"HTTP/1.1 503 Full\r\nid: r\r\nnot-run: 1\r\nContent-Length: 4\r\n\r\nfull", ScriptedTarget.HANG_UP,
				"HTTP/1.1 200 OK\r\nid: r\r\nContent-Length: 30\r\n\r\n" + rest,
				"HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\nContent-Length: 45\r\n\r\n" + StreamTarget.events(2, 4))) {
			clearTargets();
			try (ScriptedTarget first = target("t1", CUT_STREAM);
					ScriptedTarget second = target("t2", error);
					ScriptedTarget third = target("t3", ScriptedTarget.answer("r", "seal: other\r\n", rest))) {
				assertThat(run(RouteKind.STREAM, true, 3), is(new Outcome("200 s", WHOLE, "whole")));
				assertThat(third.requests().size(), is(1));
			}
		}
	}

	// Guards against a stream that is joined from two software versions in one answer.
	@Test
	void aStreamIsResumedAtTargetsOfItsSoftwareVersionOnly() throws Exception {
		String rest = ScriptedTarget.answer("r", "seal: s\r\n", StreamTarget.events(3, 4));
		try (ScriptedTarget first = target("t1", CUT_STREAM);
				ScriptedTarget other = target("t2", rest);
				ScriptedTarget same = target("t3", rest)) {
			setSoftwareVersions("v1", "v2", "v1");
			assertThat(run(RouteKind.STREAM, true, 2), is(new Outcome("200 s", WHOLE, "whole")));
			assertThat(other.requests().size(), is(0));
		}
		clearTargets();
		try (ScriptedTarget first = target("t1", CUT_STREAM); ScriptedTarget other = target("t2", rest)) {
			setSoftwareVersions("v1", "v2");
			assertThat(run(RouteKind.STREAM, true, 2), is(new Outcome("200 s", StreamTarget.events(1, 2), "broken")));
			assertThat(other.requests().size(), is(0));
		}
	}

	// Guards against a caller who loses a stream of which no event has come yet.
	@Test
	void aStreamWithoutAnEventGoesOnAtAnySoftwareVersion() throws Exception {
		String cutBeforeEvents = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\n\r\n" + ScriptedTarget.THEN_HANG_UP;
		try (ScriptedTarget first = target("t1", cutBeforeEvents);
				ScriptedTarget second = target("t2", ScriptedTarget.answer("r", "seal: s\r\n", WHOLE))) {
			setSoftwareVersions("v1", "v2");
			assertThat(run(RouteKind.STREAM, true, 2), is(new Outcome("200 s", WHOLE, "whole")));
		}
	}

	private void setSoftwareVersions(String... versions) {
		for (int i = 0; i < versions.length; i++) {
			this.readyTargets.set(i, this.readyTargets.get(i).withSoftwareVersion(versions[i]));
		}
	}

	@ParameterizedTest
	@CsvSource({ "1", "2", "4" })
	void aStreamThatIsResumedAtAnotherEventIsBroken(int firstId) throws Exception {
		try (ScriptedTarget first = target("t1", CUT_STREAM);
				ScriptedTarget second = target("t2",
						ScriptedTarget.answer("r", "seal: s\r\n", StreamTarget.events(firstId, 4)))) {
			assertThat(run(RouteKind.STREAM, true, 2), is(new Outcome("200 s", StreamTarget.events(1, 2), "broken")));
		}
	}

	// An error's head and text behind the events of a stream were passed on as events.
	@Test
	void aHeadGluedBehindTheEventsOfAStreamIsNotPassedOn() throws Exception {
		String error = "HTTP/1.1 500 Bad\r\nContent-Length: 4\r\n\r\nbad\n\n";
		for (String tail : List.of(error, "bad gateway\n\n", "error\n\n", "data: e3\n\n", "id: 2\ndata: e2\n\n")) {
			clearTargets();
			try (ScriptedTarget first = target("t1", "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\n\r\n"
					+ StreamTarget.events(1, 2) + tail + ScriptedTarget.THEN_HANG_UP)) {
				assertThat(run(RouteKind.STREAM, false, 2),
						is(new Outcome("200 s", StreamTarget.events(1, 2), "broken")));
			}
		}
	}

	@Test
	void aStreamIsNotCompleteWithoutTheEventInWhoseMiddleItWasCut() throws Exception {
		try (ScriptedTarget first = target("t1", CUT_STREAM);
				ScriptedTarget second = target("t2", ScriptedTarget.answer("r", "seal: s\r\n", ""))) {
			assertThat(run(RouteKind.STREAM, true, 2), is(new Outcome("200 s", StreamTarget.events(1, 2), "broken")));
		}
	}

	@Test
	void aStreamWithoutIdsIsPassedOnAndNeverResumed() throws Exception {
		String events = "data: a\n\ndata: b\n\n";
		String cut = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\n\r\n" + events + "data" + ScriptedTarget.THEN_HANG_UP;
		try (ScriptedTarget first = target("t1", cut); ScriptedTarget second = target("t2", cut)) {
			assertThat(run(RouteKind.STREAM, true, 2), is(new Outcome("200 s", events, "broken")));
			assertThat(first.requests().size() + second.requests().size(), is(1));
		}
	}

	@Test
	void anErrorInsteadOfAStreamIsAnsweredWhole() throws Exception {
		String sealed = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
		try (ScriptedTarget first = target("t1", sealed)) {
			assertThat(run(RouteKind.STREAM, false, 2), is(new Outcome("200 s", "{}", "answered")));
		}
	}

	// A stream whose request crashed its target behind the head was sent to the next
	// target.
	@Test
	void aStreamOfARequestThatMayCrashTargetsIsNotResumed() throws Exception {
		this.suspectsAtOnce = true;
		String head = "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\n\r\n" + ScriptedTarget.THEN_HANG_UP;
		try (ScriptedTarget first = target("t1", head); ScriptedTarget second = target("t2", head)) {
			assertThat(run(RouteKind.STREAM, true, 2), is(new Outcome("200 s", "", "broken")));
			assertThat(second.requests().size(), is(0));
		}
	}

	@Test
	void theCallersEndEndsAResumedStream() throws Exception {
		try (ScriptedTarget first = target("t1", CUT_STREAM);
				ScriptedTarget second = target("t2", ScriptedTarget
					.endless("HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\n\r\n", ": on\n\n", ScriptedTarget.IN_TRICKLES))) {
			Route route = new Route("r", "h", "/", RouteKind.STREAM, true, true, 5_000, 5_000, 0, 2,
					List.of(new PoolShare("p", 1)), 0, 0, false);
			Call call = new Call("r", route, "customer", HttpMethod.POST, "/x", new DefaultHttpHeaders().set("id", "r"),
					new byte[0], 5_000);
			RecordingSink sink = new RecordingSink();
			CompletableFuture<Runnable> cancel = new CompletableFuture<>();
			this.loop.execute(() -> cancel.complete(this.dispatcher.dispatch(call, sink)));
			await(second::isEndless);
			this.loop.execute(cancel.get());
			await(() -> !second.isEndless());
			assertThat(sink.outcome.isDone(), is(false));
		}
	}

	private static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
		while (!condition.getAsBoolean() && System.nanoTime() < deadlineNs) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		assertThat(condition.getAsBoolean(), is(true));
	}

	/** Checks the outcome of a call whose first response is cut. */
	@FunctionalInterface
	private interface CutCheck {

		void check(StreamTarget target, Cut cut) throws Exception;

	}

	/**
	 * A cut of the response of a {@link StreamTarget}.
	 *
	 * @param framing the framing of the response
	 * @param bytes the bytes that are sent
	 * @param reset true if the connection is reset
	 * @param response the whole response
	 */
	private record Cut(Framing framing, int bytes, boolean reset, String response) {

		boolean hasHead() {
			return this.bytes >= headBytes();
		}

		private int headBytes() {
			return this.response.indexOf("\r\n\r\n") + 4;
		}

		/** Returns the part of the body that is sent, as sent. */
		String received() {
			return hasHead() ? this.response.substring(headBytes(), this.bytes) : "";
		}

		int wholeEventCount() {
			int count = 0;
			for (int id = 1; id <= StreamTarget.EVENT_COUNT; id++) {
				String event = StreamTarget.events(id, id);
				count += (this.response.indexOf(event) + event.length() <= this.bytes) ? 1 : 0;
			}
			return count;
		}

		/**
		 * Returns what a caller may get if the stream is not resumed. A reset may take
		 * bytes with it that were sent before.
		 */
		List<Outcome> outcomesWithoutResumption() {
			List<Outcome> outcomes = new ArrayList<>();
			if (looksComplete()) {
				outcomes.add(new Outcome("200 s", wholeEvents(), "whole"));
			}
			if (hasHead() && !looksComplete()) {
				outcomes.add(new Outcome("200 s", wholeEvents(), "broken"));
			}
			for (int count = 0; this.reset && hasHead() && count < wholeEventCount(); count++) {
				outcomes.add(new Outcome("200 s", StreamTarget.events(1, count), "broken"));
			}
			if (this.reset || !hasHead()) {
				outcomes.add(new Outcome("", "", "refused " + ResultCode.OUTCOME_UNKNOWN));
			}
			return outcomes;
		}

		/** Returns what a caller may get if the stream is resumed. */
		List<Outcome> outcomesWithResumption() {
			if (looksComplete() && !this.reset) {
				return List.of(new Outcome("200 s", wholeEvents(), "whole"));
			}
			Outcome whole = new Outcome("200 s", WHOLE, "whole");
			// A target without framing that sends no further event may have crashed too.
			boolean endUnknown = this.framing == Framing.NONE && wholeEvents().equals(WHOLE);
			return endUnknown ? List.of(whole, new Outcome("200 s", WHOLE, "broken")) : List.of(whole);
		}

		String wholeEvents() {
			return StreamTarget.events(1, wholeEventCount());
		}

		/** Returns whether nothing tells the cut response from a whole one. */
		boolean looksComplete() {
			return switch (this.framing) {
				case LENGTH, CHUNKED -> this.bytes == this.response.length();
				case NONE -> !this.reset && wholeEventCount() > 0 && wholeEvents().equals(received());
			};
		}

		@Override
		public String toString() {
			return "%s cut at byte %d of %d by a %s".formatted(this.framing, this.bytes, this.response.length(),
					this.reset ? "reset" : "close");
		}

	}

	/**
	 * What a caller gets.
	 *
	 * @param head the status and seal
	 * @param body the body
	 * @param end how it ended
	 */
	private record Outcome(String head, String body, String end) {
	}

	/** Suspects a call from its first loss on, if the test wants it. */
	private final class FirstLossGuard implements CrashGuard {

		private boolean suspected;

		@Override
		public Standing standing(RequestIdentity request) {
			return this.suspected ? Standing.QUARANTINED : Standing.CLEAR;
		}

		@Override
		public void requestTrial(RequestIdentity request, Consumer<Boolean> decision) {
			decision.accept(true);
		}

		@Override
		public long retryAfterMs(RequestIdentity request) {
			return 0;
		}

		@Override
		public int endedTargets(RequestIdentity request) {
			return 0;
		}

		@Override
		public void connectionLost(RequestIdentity request, TargetNotice target) {
			this.suspected = CutAnswerTests.this.suspectsAtOnce;
		}

		@Override
		public void givenUp(RequestIdentity request, TargetNotice target) {
			// Only lost connections matter.
		}

		@Override
		public void responded(TargetNotice target) {
			// Only lost connections matter.
		}

		@Override
		public void answered(RequestIdentity request, String requestId) {
			this.suspected = false;
		}

	}

	/** Records what a caller gets. */
	private final class RecordingSink implements CallSink {

		private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();

		private final StringBuilder body = new StringBuilder();

		private String head = "";

		private void setHead(HttpResponse response) {
			assertThat(this.head.isEmpty(), is(true));
			this.head = response.status().code() + " " + CutAnswerTests.this.protocol.seal(response).orElse("");
		}

		private void end(String how) {
			this.outcome.complete(new Outcome(this.head, this.body.toString(), how));
		}

		@Override
		public void answer(HttpResponse response, ByteBuf content) {
			setHead(response);
			this.body.append(content.toString(StandardCharsets.US_ASCII));
			content.release();
			end("answered");
		}

		@Override
		public void refuse(ResultCode code, long retryAfterMs) {
			end("refused " + code);
		}

		@Override
		public void beginStream(HttpResponse response) {
			setHead(response);
		}

		@Override
		public boolean continueStream(ByteBuf content) {
			this.body.append(content.toString(StandardCharsets.US_ASCII));
			return true;
		}

		@Override
		public void endStream() {
			end("whole");
		}

		@Override
		public void breakStream() {
			end("broken");
		}

		@Override
		public void executionStarted() {
			// The tests do not check when execution starts.
		}

	}

}
