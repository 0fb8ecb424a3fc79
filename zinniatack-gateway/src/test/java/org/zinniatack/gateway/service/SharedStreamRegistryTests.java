package org.zinniatack.gateway.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.stream.BegunStream;
import org.zinniatack.core.stream.StreamOrigin;
import org.zinniatack.core.stream.StreamOrigins;
import org.zinniatack.core.table.PoolShare;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.call.Call;
import org.zinniatack.gateway.call.TakeUp;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link SharedStreamRegistry} in virtual time, with control processes that the
 * test answers for.
 */
class SharedStreamRegistryTests {

	private static final StreamOrigin ORIGIN = new StreamOrigin("p", "v1");

	private static final long LOOKUP_MS = 1_000;

	private final MockTicker ticker = Ticker.newMockTicker();

	private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(this.ticker).build();

	/** What the one control process remembers that does. */
	private final StreamOrigins remembered = new StreamOrigins();

	private long connectedAtMs;

	/** The versions in the replicated state, or null without a leader. */
	private @Nullable Set<String> recordedVersions = Set.of("v1", "v2");

	private Set<String> knownVersions = Set.of();

	private final List<String> questions = new ArrayList<>();

	private final SharedStreamRegistry registry = new SharedStreamRegistry("entry", this.channel.eventLoop(),
			new Control(), (pool) -> this.knownVersions);

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	private static Call call(String id, @Nullable TakeUp takeUp, PoolShare... shares) {
		Route route = new Route("r", "h", "/", RouteKind.STREAM, true, true, 5_000, 100, 0, 2, List.of(shares), 0, 0,
				false);
		return new Call(id, route, "customer", HttpMethod.POST, "/", new DefaultHttpHeaders(), new byte[0], 5_000, null,
				0, takeUp);
	}

	private Optional<StreamOrigin> find(String attemptId, PoolShare... shares) {
		CompletableFuture<Optional<StreamOrigin>> found = this.registry
			.find(call("new", new TakeUp(attemptId, "3"), shares));
		for (long passedMs = 0; passedMs < LOOKUP_MS && !found.isDone(); passedMs += 10) {
			advanceMs(10);
		}
		return found.join();
	}

	private Optional<StreamOrigin> find(String attemptId) {
		return find(attemptId, new PoolShare("p", 1));
	}

	private void advanceMs(long ms) {
		this.ticker.advance(ms, TimeUnit.MILLISECONDS);
		this.channel.runPendingTasks();
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.ticker.nanoTime());
	}

	@Test
	void anEntryKnowsItsOwnStreamsWithoutControl() {
		this.registry.recordBegun(call("a", null, new PoolShare("p", 1)), ORIGIN);
		assertThat(find("a"), is(Optional.of(ORIGIN)));
		assertThat(this.questions, is(List.of()));
	}

	// Guards against take-ups that are refused because the entry has just started.
	@Test
	void anEntryThatConnectsAsksAgainForAStreamThatAnotherBegan() {
		this.remembered.record(new BegunStream(BegunStream.keyOf("customer", "a"), ORIGIN), 0);
		this.connectedAtMs = nowMs() + 500;
		assertThat(find("a"), is(Optional.of(ORIGIN)));
		advanceMs(5_000);
		this.questions.clear();
		assertThat(find("b"), is(Optional.empty()));
		assertThat(this.questions, is(List.of("FindStream", "ReadSoftware")));
	}

	@Test
	void aStreamThatNobodyRemembersGoesOnOnlyWhereOneVersionCanHaveBegunIt() {
		assertThat(find("a"), is(Optional.empty()));
		this.recordedVersions = Set.of("v1");
		assertThat(find("a"), is(Optional.of(ORIGIN)));
		assertThat("no attempt is named", find(""), is(Optional.of(ORIGIN)));
		assertThat("it may be of another pool", find("a", new PoolShare("p", 1), new PoolShare("q", 1)),
				is(Optional.empty()));
		this.knownVersions = Set.of("v2");
		assertThat("a version that is not recorded yet", find("a"), is(Optional.empty()));
	}

	@Test
	void aStreamThatNobodyRemembersDoesNotGoOnWithoutALeader() {
		this.recordedVersions = null;
		this.knownVersions = Set.of("v1");
		assertThat(find("a"), is(Optional.empty()));
	}

	private final class Control implements ControlCalls {

		@Override
		public CompletableFuture<Message> call(Message message, long extraTimeoutMs) {
			SharedStreamRegistryTests.this.questions.add(message.getClass().getSimpleName());
			Set<String> versions = SharedStreamRegistryTests.this.recordedVersions;
			return (versions != null)
					? CompletableFuture.completedFuture(new Message.SoftwareVersions(List.copyOf(versions)))
					: CompletableFuture.failedFuture(new IllegalStateException("no leader"));
		}

		@Override
		public List<CompletableFuture<Message>> callAll(Message message, long timeoutMs) {
			SharedStreamRegistryTests.this.questions.add(message.getClass().getSimpleName());
			if (nowMs() < SharedStreamRegistryTests.this.connectedAtMs) {
				return List.of();
			}
			return List.of(CompletableFuture.completedFuture(new Message.StreamFound(
					SharedStreamRegistryTests.this.remembered.find(((Message.FindStream) message).key())
						.orElse(null))));
		}

		@Override
		public List<Peer> select(String key, int count) {
			return List.of();
		}

	}

}
