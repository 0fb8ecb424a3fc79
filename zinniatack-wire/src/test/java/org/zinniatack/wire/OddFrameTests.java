package org.zinniatack.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.directory.Evacuations;
import org.zinniatack.core.directory.HeardTarget;
import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.stream.RecordedSoftware;

/**
 * Feeds odd frames to the decoder of the connections between processes, with the stack
 * size of the daemons' threads. It may only refuse a frame. More frames are tried with
 * {@code -Dodd.seeds=50000}, other ones with {@code -Dodd.first=1000000}.
 */
class OddFrameTests {

	private static final long FIRST_SEED = Long.getLong("odd.first", 0);

	private static final long SEED_COUNT = Long.getLong("odd.seeds", 500);

	private static final int STACK_BYTES = 256 * 1024;

	private static List<byte[]> frames() throws Exception {
		TargetNotice notice = new TargetNotice("t", 1, 2, "p", "10.0.0.1:1", "a", TargetNotice.State.READY, 8,
				Map.of("m", 3L));
		List<byte[]> frames = new ArrayList<>();
		for (Message message : List.of(
				new Message.SystemFeed(List.of("10.0.0.1:2"), Map.of("10.0.0.1:2", "n"), 3, null, List.of(notice),
						List.of("t"), List.of(new HeardTarget("t", 1, 2)), Map.of("t", 70L), null,
						new Evacuations(7, Set.of("a")), Map.of("10.0.0.1:2", "a"),
						new RecordedSoftware(7, Map.of("p", Set.of("v1")))),
				new Message.Propose(new Command.ReportCrash("c", List.of("d")), false),
				new Message.ReadJob(new JobId("c", "j"), 3, 100, null), new Message.JoinRequest("r", null))) {
			frames.add(FrameCodec.encode(new Frame(1, true, message)));
		}
		return frames;
	}

	private static byte[] mutate(byte[] frame, Random random) {
		byte[] mutated = Arrays.copyOf(frame,
				(random.nextInt(4) > 0) ? frame.length : random.nextInt(frame.length + 20));
		for (int n = 0; n <= random.nextInt(4) && mutated.length > 0; n++) {
			mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
		}
		if (random.nextInt(8) == 0) {
			// 0x91 begins an array of one element.
			int depth = 1 << random.nextInt(16);
			int at = random.nextInt(mutated.length + 1);
			byte[] nested = new byte[mutated.length + depth];
			Arrays.fill(nested, (byte) 0x91);
			System.arraycopy(mutated, 0, nested, 0, at);
			System.arraycopy(mutated, at, nested, at + depth, mutated.length - at);
			return nested;
		}
		return mutated;
	}

	/** Returns what the decoder throws other than a refusal. */
	private static Throwable failure(byte[] frame) {
		EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec());
		try {
			channel.writeInbound(Unpooled.wrappedBuffer(frame));
		}
		catch (DecoderException ex) {
			return (ex.getCause() instanceof Error) ? ex : null;
		}
		catch (Throwable ex) {
			return ex;
		}
		finally {
			channel.finishAndReleaseAll();
		}
		return null;
	}

	/** Guards against a frame that ends a process or a thread instead of a connection. */
	@Test
	void anOddFrameIsRefusedOrRead() throws Exception {
		List<byte[]> frames = frames();
		AtomicReference<Throwable> failure = new AtomicReference<>();
		Thread thread = new Thread(null, () -> {
			for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT && failure.get() == null; seed++) {
				Random random = new Random(seed);
				byte[] frame = mutate(frames.get(random.nextInt(frames.size())), random);
				Throwable thrown = failure(frame);
				if (thrown != null) {
					failure.set(new AssertionError("seed " + seed, thrown));
				}
			}
		}, "odd-frames", STACK_BYTES);
		thread.start();
		thread.join();
		if (failure.get() != null) {
			throw new AssertionError(failure.get());
		}
	}

}
