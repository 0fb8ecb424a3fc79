package org.zinniatack.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.job.JobSize;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.wire.StateCodec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests of commands in the log that the state cannot apply.
 */
class UnappliableCommandTests {

	private final List<Throwable> ends = new ArrayList<>();

	private final AppliedState applied = new AppliedState(Ticker.systemTicker(), (state) -> {
	}, (task, failure) -> this.ends.add(failure));

	@AfterEach
	void stop() {
		this.applied.stop();
	}

	private static LogEntry entry(long index, Command command) throws Exception {
		return LogEntry.command(index, 1, StateCodec.encode(command));
	}

	// Guards against an entry that ends every control process, and again at each start.
	@Test
	void aCommandThatTheStateCannotApplyIsRefusedAndTheNextOneApplied() throws Exception {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		this.applied.expect(1, 1, JobSize.ZERO, reply);
		this.applied.start();
		this.applied.handOver(
				List.of(entry(1, new Command.AnnounceWeights(null, 1)), entry(2, new Command.AnnounceWeights("m", 2))));
		assertThat(this.applied.read((state) -> state.newestWeightVersions().get("m")).get(10, TimeUnit.SECONDS),
				is(2L));
		assertThat(this.ends, is(empty()));
		assertThat(((Reply.Refused) reply.get(10, TimeUnit.SECONDS)).code(), is(ResultCode.INTERNAL));
		assertThat(this.applied.appliedIndex(), is(2L));
	}

}
