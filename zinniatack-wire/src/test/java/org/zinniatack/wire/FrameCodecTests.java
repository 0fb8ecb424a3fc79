package org.zinniatack.wire;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.state.Command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of large frames, which must not hold an event loop.
 */
class FrameCodecTests {

	private static final long WAIT_MS = 20_000;

	/** Half of the shortest election timeout. */
	private static final long LIMIT_MS = 225;

	/** The other executor, whose tasks run when a test wants them to. */
	private final Deque<Runnable> tasks = new ArrayDeque<>();

	private final List<String> events = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec(this.tasks::add), new Recorder());

	private static Frame large(long exchangeId) {
		JobItem item = new JobItem("i", "g", "/", Map.of(), new byte[2 * FrameCodec.LARGE_FRAME_BYTES], "", 0, null);
		return new Frame(exchangeId, true, new Message.Propose(
				new Command.SubmitJob(new JobSubmission(new JobId("c", "j"), "h", "m", 1, 2, 3, 4, List.of(item))),
				false));
	}

	private static Frame small(long exchangeId) {
		return new Frame(exchangeId, true, new Message.ReadIndex());
	}

	private void receive(Frame frame) throws Exception {
		this.channel.writeInbound(Unpooled.wrappedBuffer(FrameCodec.encode(frame)));
	}

	private void runTask() {
		this.tasks.remove().run();
		this.channel.runPendingTasks();
	}

	private List<Long> sentIds() throws Exception {
		List<Long> ids = new ArrayList<>();
		for (ByteBuf sent = this.channel.readOutbound(); sent != null; sent = this.channel.readOutbound()) {
			ids.add(FrameCodec.decode(ByteBufUtil.getBytes(sent)).exchangeId());
			sent.release();
		}
		return ids;
	}

	@Test
	void aLargeFrameIsDecodedElsewhereAndTheFramesBehindItKeepTheirOrder() throws Exception {
		receive(small(1));
		receive(large(3));
		receive(small(5));
		receive(large(7));
		assertThat(this.events, contains("1"));
		assertThat(this.channel.config().isAutoRead(), is(false));
		runTask();
		assertThat(this.events, contains("1", "3", "5"));
		assertThat(this.channel.config().isAutoRead(), is(false));
		runTask();
		assertThat(this.events, contains("1", "3", "5", "7"));
		assertThat(this.channel.config().isAutoRead(), is(true));
	}

	@Test
	void aLargeFrameIsEncodedElsewhereAndTheFramesBehindItKeepTheirOrder() throws Exception {
		this.channel.writeOneOutbound(small(1));
		this.channel.writeOneOutbound(large(3));
		this.channel.writeOneOutbound(small(5));
		this.channel.writeOneOutbound(new Frame(0, true, new Message.Heartbeat()));
		this.channel.flushOutbound();
		assertThat(sentIds(), contains(1L, 0L));
		runTask();
		assertThat(sentIds(), contains(3L, 5L));
	}

	// Guards against tables that reach no entry, since the codec takes frames only.
	@Test
	void anEncodedNotificationIsSentInItsOrder() throws Exception {
		this.channel.writeOneOutbound(large(3));
		this.channel.writeOneOutbound(EncodedNotification.of(new Message.ReadIndex()));
		this.channel.writeOneOutbound(small(5));
		runTask();
		this.channel.flushOutbound();
		assertThat(sentIds(), contains(3L, ChannelPeer.NOTIFICATION_ID, 5L));
	}

	@Test
	void aConnectionThatIsLostMeanwhileEndsAtOnceAndFailsWhatIsNotSent() throws Exception {
		receive(large(3));
		ChannelFuture first = this.channel.writeOneOutbound(large(1));
		ChannelFuture second = this.channel.writeOneOutbound(small(3));
		this.channel.close();
		assertThat(this.events, contains("inactive"));
		runTask();
		runTask();
		assertThat(this.events, contains("inactive"));
		assertThat(first.isDone() && !first.isSuccess(), is(true));
		assertThat(second.isDone() && !second.isSuccess(), is(true));
	}

	/**
	 * Measures the longest time for which an event loop works on something else, as time
	 * of its thread, since the machine may be busy.
	 */
	private static void measureHolds(PeerNetwork network, AtomicLong longestNs, long beforeNs) {
		long nowNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
		longestNs.accumulateAndGet(nowNs - beforeNs, Math::max);
		network.schedule(() -> measureHolds(network, longestNs, nowNs), 1);
	}

	// Guards against heartbeats and votes that wait for a large job on another connection
	// of their event loop.
	@Test
	void aLargeJobHoldsTheEventLoopForLessThanHalfAnElectionTimeout() throws Exception {
		JobItem item = new JobItem("item", "group", "/", Map.of("a", "b"), new byte[100], "prompt", 7, null);
		Message job = new Message.Propose(new Command.SubmitJob(
				new JobSubmission(new JobId("c", "j"), "h", "m", 1, 2, 3, 4, Collections.nCopies(200_000, item))),
				false);
		PeerNetwork network = new PeerNetwork(new PeerIdentity("test", "node"),
				ClusterSecret.of("a secret of the cluster"), new PeerHandler() {
					@Override
					public void onRequest(Peer peer, Message message, Responder responder) {
						responder.respond(new Message.ReadIndexAt(7), true);
					}
				}, 1);
		try {
			Peer peer = network.connect("127.0.0.1:" + network.listen("127.0.0.1:0"))
				.get(WAIT_MS, TimeUnit.MILLISECONDS);
			AtomicLong longestNs = new AtomicLong();
			network.schedule(() -> measureHolds(network, longestNs,
					ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()), 0);
			assertThat(peer.call(job, WAIT_MS).get(), is(new Message.ReadIndexAt(7)));
			assertThat(TimeUnit.NANOSECONDS.toMillis(longestNs.get()), lessThan(LIMIT_MS));
		}
		finally {
			network.stop();
		}
	}

	/** Records what the handler behind the codec is told. */
	private final class Recorder extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object frame) {
			FrameCodecTests.this.events.add(String.valueOf(((Frame) frame).exchangeId()));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			FrameCodecTests.this.events.add("inactive");
		}

	}

}
