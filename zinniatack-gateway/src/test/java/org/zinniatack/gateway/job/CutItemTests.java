package org.zinniatack.gateway.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.http.ScriptedProtocol;
import org.zinniatack.gateway.http.ScriptedTarget;
import org.zinniatack.gateway.http.StreamTarget;
import org.zinniatack.gateway.http.StreamTarget.Framing;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.gateway.target.LoadedVersions;
import org.zinniatack.gateway.target.TargetProtocol;
import org.zinniatack.gateway.target.TargetSelector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ItemAttempt} with streams that are cut: at every byte, for each
 * framing, by a close and by a reset of the connection.
 */
class CutItemTests {

	private static final long WAIT_S = 10;

	private static final int MAXIMUM_ATTEMPTS = 6;

	private static final JobItem ITEM = new JobItem("r", "g", "/", Map.of(), new byte[0], "", 20, null);

	private static final JobSubmission JOB = new JobSubmission(new JobId("c", "j"), "h", "m", 1, 0, 7_500, 40_000,
			List.of(ITEM));

	private static final Route ROUTE = new Route("r", "h", "/", RouteKind.JOB, false, true, 5_000, 100, 0, 2,
			List.of(new PoolShare("p", 1)), 0, 0, false);

	private static final String HEAD = "HTTP/1.1 200 OK\r\nid: r\r\nversion: 1\r\n";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final TargetProtocol protocol = new ScriptedProtocol();

	private final TargetClient client = new TargetClient(this.loop, new ScriptedProtocol());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	/** Generates an item at targets that are used in turn, and returns its output. */
	private String generate(String... addresses) throws Exception {
		Generation generation = new Generation(List.of(addresses));
		this.loop.execute(generation::send);
		return generation.output.get(WAIT_S, TimeUnit.SECONDS);
	}

	private static String dataOf(int eventCount) {
		return IntStream.rangeClosed(1, eventCount).mapToObj((id) -> "e" + id).collect(Collectors.joining("\n"));
	}

	// An item counted as complete although its stream was cut in the middle of an event.
	@ParameterizedTest
	@EnumSource(Framing.class)
	void anItemIsWholeWhereverItsStreamIsCut(Framing framing) throws Exception {
		int step = Boolean.getBoolean("zinniatack.allCuts") ? 1 : 5;
		try (StreamTarget target = new StreamTarget(framing)) {
			String response = target.response(0);
			for (int cut = 0; cut <= response.length(); cut += endsLine(response, cut) ? 1 : step) {
				for (boolean reset : new boolean[] { false, true }) {
					target.cutNext(cut, reset);
					String output = generate(target.address(), target.address());
					String description = "%s cut at byte %d of %d, reset: %s".formatted(framing, cut, response.length(),
							reset);
					String whole = dataOf(StreamTarget.EVENT_COUNT);
					int eventCount = eventCountAtEnd(response, cut);
					if (framing == Framing.NONE && !reset && eventCount > 0) {
						assertThat(description, output, is(dataOf(eventCount)));
					}
					else {
						assertThat(description, output, is(whole));
					}
				}
			}
		}
	}

	private static boolean endsLine(String response, int cut) {
		return response.substring(Math.max(0, cut - 1), Math.min(response.length(), cut + 1)).contains("\n");
	}

	/** Returns how many events came if the cut is at the end of an event, or 0. */
	private static int eventCountAtEnd(String response, int cut) {
		return IntStream.rangeClosed(1, StreamTarget.EVENT_COUNT)
			.filter((count) -> response.substring(0, cut).endsWith("\r\n\r\n" + StreamTarget.events(1, count)))
			.findFirst()
			.orElse(0);
	}

	// A target that crashed after its head made an item complete whose third event was
	// missing.
	@ParameterizedTest
	@ValueSource(strings = { "\r\n", "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" })
	void anItemIsNotCompleteWithoutTheEventInWhoseMiddleItWasCut(String end) throws Exception {
		try (ScriptedTarget first = new ScriptedTarget(
				HEAD + "\r\n" + StreamTarget.events(1, 2) + "version: 1\n" + ScriptedTarget.THEN_HANG_UP);
				ScriptedTarget second = new ScriptedTarget(HEAD + end + ScriptedTarget.THEN_HANG_UP);
				StreamTarget third = new StreamTarget(Framing.CHUNKED)) {
			assertThat(generate(first.address(), second.address(), third.address()), is(dataOf(4)));
		}
	}

	@Test
	void anItemThatIsContinuedWithNothingStartsAgain() throws Exception {
		try (ScriptedTarget first = new ScriptedTarget(
				HEAD + "Content-Length: 1000\r\n\r\n" + StreamTarget.events(1, 4) + ScriptedTarget.THEN_HANG_UP);
				StreamTarget second = new StreamTarget(Framing.NONE)) {
			assertThat(generate(first.address(), second.address()), is(dataOf(4)));
			assertThat(second.resumedAfter(), is(List.of(4, 4, 0)));
		}
	}

	/** The bytes may be the begin of an event. */
	@Test
	void bytesBehindTheLastEventDoNotKeepAnItemOpenForever() throws Exception {
		try (ScriptedTarget first = new ScriptedTarget(
				HEAD + "\r\n" + StreamTarget.events(1, 4) + "HTTP/1.1 500 Bad\r\n" + ScriptedTarget.THEN_HANG_UP);
				StreamTarget second = new StreamTarget(Framing.CHUNKED)) {
			assertThat(generate(first.address(), second.address()), is(dataOf(4)));
			assertThat(second.resumedAfter(), is(List.of(4, 4, 0)));
		}
	}

	// The head of an error behind some events ended an item as complete.
	@Test
	void anItemBehindWhoseEventsAnErrorStandsIsContinued() throws Exception {
		try (ScriptedTarget first = new ScriptedTarget(HEAD + "\r\n" + StreamTarget.events(1, 2)
				+ "HTTP/1.1 500 Bad\r\nid: 3\r\nContent-Length: 5\r\n\r\nbad\n\n" + ScriptedTarget.THEN_HANG_UP);
				StreamTarget second = new StreamTarget(Framing.NONE)) {
			assertThat(generate(first.address(), second.address()), is(dataOf(4)));
			assertThat(second.resumedAfter(), is(List.of(2)));
		}
	}

	/** Generates one item, at the next target after each loss. */
	private final class Generation implements ItemAttempt.AttemptHandler {

		private final CompletableFuture<String> output = new CompletableFuture<>();

		private final List<String> losses = new ArrayList<>();

		private final List<String> addresses;

		private final ItemRun run = new ItemRun(JOB, ITEM, 0,
				new EventText((line) -> line.startsWith("version: ")
						? OptionalLong.of(Long.parseLong(line.substring("version: ".length()))) : OptionalLong.empty()),
				0);

		Generation(List<String> addresses) {
			this.addresses = addresses;
		}

		void send() {
			String address = this.addresses.get(Math.min(this.losses.size(), this.addresses.size() - 1));
			TargetNotice target = new TargetNotice("t", 1, 1, "p", address, "a", TargetNotice.State.READY, 4,
					Map.of("m", 1L));
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/",
					Unpooled.EMPTY_BUFFER);
			CutItemTests.this.protocol.setRequestId(request.headers(), ITEM.id());
			CutItemTests.this.protocol.setSystemHeaders(request.headers(),
					new TargetProtocol.RequestContext("t", "c", 5_000, this.run.text.lastEventId()));
			this.run.beginAttempt(TimeUnit.NANOSECONDS.toMillis(CutItemTests.this.loop.ticker().nanoTime()));
			ItemAttempt attempt = new ItemAttempt(CutItemTests.this.loop, CutItemTests.this.protocol,
					new LoadedVersions(),
					new TargetSelector((pool) -> List.of(target), "a", (other) -> true, (leaving) -> {
					}), this, this.run, ROUTE, target);
			this.run.canceller = CutItemTests.this.client.send(address, request, attempt);
		}

		@Override
		public void handleLoss(ItemRun lost, String detail) {
			this.losses.add(detail);
			if (this.losses.size() < MAXIMUM_ATTEMPTS) {
				CutItemTests.this.loop.execute(this::send);
			}
			else {
				this.output.complete("lost: " + this.losses);
			}
		}

		@Override
		public void handleNotSent(ItemRun notSent, String detail) {
			handleLoss(notSent, detail);
		}

		@Override
		public void requeue(ItemRun waiting) {
			this.output.complete("waits");
		}

		@Override
		public void handleGenerated(ItemRun whole, Route route) {
			this.output.complete(whole.text.text());
		}

		@Override
		public void finish(ItemRun ended, ItemOutcome outcome, String reason) {
			this.output.complete("finished " + reason);
		}

	}

}
