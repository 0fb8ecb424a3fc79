package org.zinniatack.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.presence.TableVersion;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Router;
import org.zinniatack.wire.ExchangeListener;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerIdentity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link QueueingDispatcher} that text which a target has generated is continued
 * by targets of the same software version only.
 */
class SoftwareVersionTests {

	private static final String TOKEN = "{\"choices\":[{\"text\":\"a \",\"finish_reason\":null}],\"weight_version\":1}";

	private final Authority authority = new Authority(5_000);

	private final QueueingDispatcher dispatcher = new QueueingDispatcher(() -> 0, this.authority,
			() -> Router.prefixAffinity("a", new Random(52)), (finished) -> {
			});

	private final Map<String, Agent> agents = new LinkedHashMap<>();

	private final List<ResultCode> failures = new ArrayList<>();

	@BeforeEach
	void start() {
		this.authority.accept(new Message.Feed(0, 0, List.of(), 1, 0, Map.of(), 0, Map.of(), 1, List.of(), List.of(),
				Map.of(), TableVersion.NONE), 0);
	}

	private Agent agent(String id, String softwareVersion) {
		Agent agent = new Agent(id);
		this.agents.put(id, agent);
		this.dispatcher.onAnnounce(agent, new Message.Announce(id, "1", "draft", "a", 1));
		load(agent, softwareVersion, true);
		return agent;
	}

	private void load(Agent agent, String softwareVersion, boolean healthy) {
		this.dispatcher.onLoad(agent, new Message.Load(agent.runs.size(), 1, false, healthy, 0, 0, softwareVersion));
	}

	private void submit() throws ServiceException {
		CallerRequest.Call call = SimulatedCaller.call("trainer", "prompt", 4, true, true);
		this.dispatcher.submit(new CallerRequest(new CallerRequest.Principal("trainer", null, 1), call, 4, false, 1_000,
				2_000, new AnswerSink() {

					@Override
					public void complete(Answer answer) {
						throw new AssertionError(answer);
					}

					@Override
					public void fail(ServiceException failure) {
						SoftwareVersionTests.this.failures.add(failure.code());
					}

				}), false);
	}

	private Agent running() {
		return this.agents.values().stream().filter((agent) -> !agent.runs.isEmpty()).findFirst().orElseThrow();
	}

	/** Ends the run of an agent after one token, as if its target was lost. */
	private void loseAfterOneToken(Agent agent) {
		ExchangeListener run = agent.runs.remove(0);
		run.onMessage(new Message.AnswerChunk(TOKEN.getBytes(StandardCharsets.UTF_8)), false);
		run.onMessage(new Message.Failure(ResultCode.OUTCOME_UNKNOWN, "lost", 0), true);
	}

	// Guards against text that another software version continues.
	@Test
	void anAnswerWithTextWaitsForATargetOfItsSoftwareVersionAndHoldsUpNoOther() throws Exception {
		Agent first = agent("t1", "v1");
		submit();
		Agent other = agent("t2", "v2");
		Agent same = agent("t3", "v1");
		load(same, "v1", false);
		load(first, "v1", false);
		loseAfterOneToken(first);
		assertThat(other.runs, empty());
		submit();
		assertThat(other.runs.size(), is(1));
		load(same, "v1", true);
		assertThat(same.runs.size(), is(1));
		assertThat(this.failures, empty());
	}

	// Guards against an answer that waits for a software version that is gone.
	@Test
	void anAnswerWithTextIsCutIfOnlyOtherSoftwareVersionsAreLeft() throws Exception {
		agent("t1", "v1");
		submit();
		Agent first = running();
		load(first, "v2", true);
		agent("t2", "v2");
		loseAfterOneToken(first);
		assertThat(this.failures, contains(ResultCode.ANSWER_CUT_SHORT));
	}

	/** The connection of an agent, which records what it is to run. */
	private static final class Agent implements Peer {

		private final String id;

		private final List<ExchangeListener> runs = new ArrayList<>();

		Agent(String id) {
			this.id = id;
		}

		@Override
		public CompletableFuture<Message> call(Message request, long timeoutMs) {
			return CompletableFuture.failedFuture(new IllegalStateException("no calls here"));
		}

		@Override
		public void close() {
			// There is no connection.
		}

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity("agent", this.id);
		}

		@Override
		public boolean isOpen() {
			return true;
		}

		@Override
		public Runnable openExchange(Message request, ExchangeListener listener) {
			this.runs.add(listener);
			return () -> this.runs.remove(listener);
		}

		@Override
		public void send(Message notification) {
			// Nothing is expected.
		}

		@Override
		public void whenClosed(Runnable action) {
			// There is no connection.
		}

	}

}
