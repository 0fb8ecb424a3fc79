package org.zinniatack.gateway.service;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.EarlyEnds;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.OwnerMatch;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.gateway.http.ScriptedProtocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

/**
 * Tests which submissions {@link GatewayService} passes on.
 */
class SubmissionAgeTests {

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final GatewayService gateway = new GatewayService(new GatewaySettings("front", "a", "127.0.0.1:0",
			"127.0.0.1:0", "127.0.0.1:0", List.of(), 1, "secret-of-this-test-only", 5, 500, 1, false),
			this.group.next(), new ScriptedProtocol());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private ResultCode refusalOf(long ageMs) {
		JobItem item = new JobItem("a", "g", "/p/", Map.of(), new byte[] { 1 }, "", 0, null);
		JobSubmission submission = new JobSubmission(new JobId("t", "job"), "h.example", "m", 1, 1_000, 7_000, 40_000,
				List.of(item));
		try {
			this.gateway.submit(submission, OwnerMatch.EXACT, () -> ageMs).join();
			return ResultCode.OK;
		}
		catch (CompletionException ex) {
			return GatewayService.codeOf(ex.getCause());
		}
	}

	// Guards against a submission that was held back at a front until its end is
	// forgotten, and takes the index that the front knows by then.
	@Test
	void aSubmissionThatMayBeOlderThanTheOldestRememberedEndIsNotPassedOn() {
		assertThat(EarlyEnds.MAX_SUBMISSION_AGE_MS, is(lessThan(EarlyEnds.MEMORY_MS)));
		assertThat(refusalOf(EarlyEnds.MAX_SUBMISSION_AGE_MS + 1), is(ResultCode.SUBMISSION_STALE));
		assertThat(refusalOf(EarlyEnds.MAX_SUBMISSION_AGE_MS), is(not(ResultCode.SUBMISSION_STALE)));
	}

}
