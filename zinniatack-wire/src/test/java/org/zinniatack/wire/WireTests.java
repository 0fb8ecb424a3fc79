package org.zinniatack.wire;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.directory.Evacuations;
import org.zinniatack.core.directory.HeardTarget;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Suspicion;
import org.zinniatack.core.stream.RecordedSoftware;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests connections, their handshake, their exchanges and the shutdown of the network.
 */
class WireTests {

	private static final long WAIT_MS = 5_000;

	/**
	 * Without closing the listener first, about one stop in fifty left its port bound.
	 */
	private static final int STOP_ROUNDS = 400;

	private final CompletableFuture<Void> cancelled = new CompletableFuture<>();

	private PeerNetwork server;

	private String address;

	@BeforeEach
	void listen() throws ServiceException {
		this.server = network("a secret of the cluster", new PeerHandler() {
			@Override
			public void onRequest(Peer peer, Message message, Responder responder) {
				responder.onCancel(() -> WireTests.this.cancelled.complete(null));
				if (message instanceof Message.ReadIndex) {
					responder.respond(new Message.ReadIndexAt(7), true);
				}
				else if (message instanceof Message.JoinRequest) {
					responder.respond(new Message.Failure(ResultCode.NOT_LEADER, "elsewhere", 9), true);
				}
			}
		});
		this.address = "127.0.0.1:" + this.server.listen("127.0.0.1:0");
	}

	@AfterEach
	void stop() {
		this.server.stop();
	}

	private static PeerNetwork network(String secret, PeerHandler handler) {
		return new PeerNetwork(new PeerIdentity("test", "node"), ClusterSecret.of(secret), handler, 1);
	}

	private static ServiceException awaitFailure(CompletableFuture<?> future) throws Exception {
		try {
			future.get(WAIT_MS, TimeUnit.MILLISECONDS);
			throw new AssertionError("the call succeeded, but a failure was expected");
		}
		catch (ExecutionException ex) {
			return (ServiceException) ex.getCause();
		}
	}

	@Test
	void aPeerWithTheSecretIsAnswered() throws Exception {
		PeerNetwork client = network("a secret of the cluster", new PeerHandler() {
		});
		Peer peer = client.connect(this.address).get(WAIT_MS, TimeUnit.MILLISECONDS);
		assertThat(peer.call(new Message.ReadIndex(), WAIT_MS).get(), equalTo(new Message.ReadIndexAt(7)));
		ServiceException failure = awaitFailure(peer.call(new Message.JoinRequest("x", "a"), WAIT_MS));
		assertThat(failure.code(), is(ResultCode.NOT_LEADER));
		assertThat(failure.retryAfterMs(), is(9L));
		client.stop();
	}

	@Test
	void aPeerWithAnotherSecretIsRefused() throws Exception {
		PeerNetwork stranger = network("another secret altogether", new PeerHandler() {
		});
		assertThat(awaitFailure(stranger.connect(this.address)).code(), is(ResultCode.HANDSHAKE_REFUSED));
		stranger.stop();
	}

	@Test
	void aCallWithoutAnAnswerTimesOutAndIsCancelledAtThePeer() throws Exception {
		PeerNetwork client = network("a secret of the cluster", new PeerHandler() {
		});
		Peer peer = client.connect(this.address).get(WAIT_MS, TimeUnit.MILLISECONDS);
		assertThat(awaitFailure(peer.call(new Message.PresenceRequest(), 50)).code(), is(ResultCode.CALL_TIMED_OUT));
		this.cancelled.get(WAIT_MS, TimeUnit.MILLISECONDS);
		client.stop();
	}

	@Test
	void aLostConnectionEndsItsExchanges() throws Exception {
		PeerNetwork client = network("a secret of the cluster", new PeerHandler() {
		});
		Peer peer = client.connect(this.address).get(WAIT_MS, TimeUnit.MILLISECONDS);
		CompletableFuture<Message> call = peer.call(new Message.PresenceRequest(), WAIT_MS);
		TimeUnit.MILLISECONDS.sleep(50);
		peer.close();
		assertThat(awaitFailure(call).code(), is(ResultCode.PEER_LOST));
		this.cancelled.get(WAIT_MS, TimeUnit.MILLISECONDS);
		client.stop();
	}

	@Test
	void commandsKeepTheirFieldsThroughTheCodec() throws Exception {
		Command command = new Command.OrderTargets("pool", Map.of("a", 2, "b", 1));
		assertThat(StateCodec.decodeCommand(StateCodec.encode(command)), equalTo(command));
		Command crash = new Command.ReportCrash("c", List.of("d"));
		assertThat(StateCodec.decodeCommand(StateCodec.encode(crash)), instanceOf(Command.ReportCrash.class));
	}

	private static void keepLoopBusy(PeerNetwork network) {
		network.schedule(() -> keepLoopBusy(network), 0);
	}

	/**
	 * Guards against a listener that stays bound after {@link PeerNetwork#stop()}. This
	 * happened when the event loops shut down just after they had polled for work.
	 */
	@Test
	void aStoppedWireListensNoMore() throws Exception {
		PeerNetwork client = network("a secret of the cluster", new PeerHandler() {
		});
		try {
			for (int round = 0; round < STOP_ROUNDS; round++) {
				client.connect(this.address).get(WAIT_MS, TimeUnit.MILLISECONDS);
				keepLoopBusy(this.server);
				this.server.stop();
				this.server = network("a secret of the cluster", new PeerHandler() {
				});
				this.server.listen(this.address);
			}
		}
		finally {
			client.stop();
		}
	}

	/**
	 * Guards against a feed that processes of the previous or the next version cannot
	 * read.
	 */
	@Test
	void aFeedOfAnEarlierVersionLacksWhatWasAddedAndIsReadable() throws Exception {
		TargetNotice notice = new TargetNotice("t", 1, 2, "p", "10.0.0.1:1", "a", TargetNotice.State.READY, 8,
				Map.of());
		Message.SystemFeed feed = new Message.SystemFeed(List.of(), Map.of(), 3, null, List.of(notice), List.of("t"),
				List.of(new HeardTarget("t", 1, 2)), Map.of("t", 70L),
				new Message.Suspects(9, List.of(new Suspicion("d", List.of("t@1"), 5))),
				new Evacuations(9, Set.of("a")), Map.of("10.0.0.1:2", "a"),
				new RecordedSoftware(9, Map.of("p", Set.of("v1"))));
		assertThat(decoded(FrameCodec.encode(new Frame(0, true, feed))), equalTo(feed));
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		JsonNode frame = mapper.readTree(FrameCodec.encode(new Frame(0, true, feed)));
		((ObjectNode) frame.get(2))
			.remove(List.of("heardTargets", "silenceMsById", "suspects", "evacuations", "failureDomainsByAddress"));
		Message.SystemFeed earlier = (Message.SystemFeed) decoded(mapper.writeValueAsBytes(frame));
		assertThat(earlier.heardTargetIds(), contains("t"));
		assertThat(earlier.heardTargets(), is(nullValue()));
		assertThat(earlier.silenceMs("t"), is(0L));
		assertThat(earlier.suspects(), is(nullValue()));
		assertThat(earlier.evacuations(), is(nullValue()));
		((ObjectNode) frame.get(2)).put("addedLater", 1);
		assertThat(decoded(mapper.writeValueAsBytes(frame)), equalTo(earlier));
	}

	/** Guards against a subscription that a process of another version cannot read. */
	@Test
	void aSubscriptionOfAnEarlierVersionTellsNothingOfTargets() throws Exception {
		Message.Subscribe subscription = new Message.Subscribe(List.of(), Map.of());
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		JsonNode frame = mapper.readTree(FrameCodec.encode(new Frame(0, true, subscription)));
		assertThat(decoded(mapper.writeValueAsBytes(frame)), equalTo(subscription));
		JsonNode toEarlier = frame.deepCopy();
		((ObjectNode) toEarlier.get(2)).put("t", "hw");
		// Earlier versions have a subscription without components, like this message.
		assertThat(decoded(mapper.writeValueAsBytes(toEarlier)), equalTo(new Message.Welcome()));
		((ObjectNode) frame.get(2)).remove(List.of("left", "silenceMsById"));
		assertThat(decoded(mapper.writeValueAsBytes(frame)), equalTo(new Message.Subscribe(null, null)));
	}

	private static Message decoded(byte[] bytes) throws IOException {
		return FrameCodec.decode(bytes).message();
	}

}
