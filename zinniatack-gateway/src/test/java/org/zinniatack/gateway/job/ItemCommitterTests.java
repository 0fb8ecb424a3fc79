package org.zinniatack.gateway.job;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.control.ControlService;
import org.zinniatack.control.ControlSettings;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.state.Command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ItemCommitter}: a result is committed as soon as this process leads.
 */
class ItemCommitterTests {

	private static final String ADDRESS = "127.0.0.1:0";

	private static final long TIMEOUT_MS = 5_000;

	private static final long POLL_MS = 10;

	/** Longer than the delay with which results are committed. */
	private static final long LAPSE_MS = 100;

	private static final JobItem ITEM = new JobItem("i", "g", "/p/", Map.of(), new byte[0], "", 0, null);

	private static final JobSubmission JOB = new JobSubmission(new JobId("c", "j"), "h", "m", 1, 0, 7_500, 40_000,
			List.of(ITEM));

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final AtomicBoolean leads = new AtomicBoolean(true);

	@TempDir
	private Path folder;

	private ControlService control;

	private ItemCommitter committer;

	@BeforeEach
	void start() throws Exception {
		this.control = new ControlService(new ControlSettings("c", this.folder.toString(), ADDRESS, ADDRESS,
				Map.of("c", ADDRESS), List.of("a"), "secret-of-this-test-only", List.of(), "", 5_000, 0, 1_000));
		this.control.start();
		this.committer = new ItemCommitter(this.loop, this.control, this.leads::get, (run) -> {
		});
		await(() -> {
			try {
				this.control.propose(new Command.SubmitJob(JOB)).get();
				return true;
			}
			catch (ExecutionException ex) {
				return false;
			}
		});
	}

	@AfterEach
	void stop() {
		this.control.stop();
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private static void await(Condition condition) throws Exception {
		long startedMs = ControlService.clockMs();
		while (!condition.isMet() && ControlService.clockMs() - startedMs < TIMEOUT_MS) {
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
		assertThat(condition.isMet(), is(true));
	}

	private boolean isFinished() throws Exception {
		return this.control.readApplied((state) -> state.jobs().job(JOB.id()).orElseThrow().isFinished("i")).get();
	}

	/** The last result of a job was never committed after a short lapse of the lease. */
	@Test
	void aResultThatIsReadyDuringALapseOfTheLeaseIsCommittedAfterIt() throws Exception {
		ItemRun run = new ItemRun(JOB, ITEM, 0, new EventText((line) -> OptionalLong.empty()), 0);
		run.phase = ItemRun.Phase.COMMITTING;
		this.leads.set(false);
		this.loop.execute(() -> this.committer.enqueue(ItemOutcome.givenUp(run)));
		TimeUnit.MILLISECONDS.sleep(LAPSE_MS);
		assertThat(isFinished(), is(false));
		this.leads.set(true);
		await(this::isFinished);
	}

	/** A condition to wait for. */
	private interface Condition {

		boolean isMet() throws Exception;

	}

}
