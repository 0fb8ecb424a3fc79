package org.zinniatack.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of lookups whose clock advances by the time of each attempt.
 */
class ReadIndexesTests {

	private static final long TIMEOUT_MS = 20_000;

	private static final long ATTEMPT_MS = 100;

	private static final long LIMIT_ATTEMPTS = ReadIndexes.LIMIT_MS / ATTEMPT_MS;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final AtomicLong nowMs = new AtomicLong();

	@AfterEach
	void stopTimer() {
		this.timer.shutdownNow();
	}

	private ReadIndexes indexes(long failureCount, ResultCode code) {
		AtomicLong attempts = new AtomicLong();
		return new ReadIndexes((timeoutMs) -> {
			this.nowMs.addAndGet(Math.min(ATTEMPT_MS, timeoutMs));
			return (attempts.incrementAndGet() > failureCount) ? CompletableFuture.completedFuture(7L)
					: CompletableFuture.failedFuture(ServiceException.of(code, "attempt " + attempts));
		}, this.nowMs::get, this.timer);
	}

	private CompletableFuture<Long> find(long failureCount, ResultCode code) {
		return indexes(failureCount, code).find();
	}

	private static ResultCode codeOf(CompletableFuture<Long> found) throws Exception {
		try {
			found.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			return ((ServiceException) ex.getCause()).code();
		}
		throw new AssertionError("the lookup succeeded");
	}

	// Guards against reads that are refused although a leader is there, since the
	// connection to it is not open yet.
	@Test
	void aLookupIsRepeatedUntilTheLeaderAnswers() throws Exception {
		assertThat(find(3, ResultCode.NOT_LEADER).get(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(7L));
	}

	@Test
	void aLookupIsGivenUpAtItsLimitWithTheLastFailure() throws Exception {
		assertThat(codeOf(find(Long.MAX_VALUE, ResultCode.PEER_LOST)), is(ResultCode.PEER_LOST));
		assertThat(this.nowMs.get(), greaterThanOrEqualTo(ReadIndexes.LIMIT_MS - ATTEMPT_MS));
		assertThat(this.nowMs.get(), lessThanOrEqualTo(ReadIndexes.LIMIT_MS));
	}

	// Guards against answers that are held back on a process that is cut off.
	@Test
	void lookupsAfterTheLimitAreRefusedAtOnceUntilOneSucceeds() throws Exception {
		ReadIndexes indexes = indexes(LIMIT_ATTEMPTS + 1, ResultCode.NOT_LEADER);
		assertThat(codeOf(indexes.find()), is(ResultCode.NOT_LEADER));
		long givenUpMs = this.nowMs.get();
		assertThat(codeOf(indexes.find()), is(ResultCode.NOT_LEADER));
		assertThat(this.nowMs.get() - givenUpMs, lessThanOrEqualTo(ATTEMPT_MS));
		assertThat(indexes.find().get(TIMEOUT_MS, TimeUnit.MILLISECONDS), is(7L));
	}

	@Test
	void aFailureThatDoesNotPassEndsALookupAtOnce() throws Exception {
		assertThat(codeOf(find(1, ResultCode.SHUTTING_DOWN)), is(ResultCode.SHUTTING_DOWN));
		assertThat(this.nowMs.get(), is(ATTEMPT_MS));
	}

	@Test
	void aLookupOfAStoppedProcessFailsInsteadOfWaiting() throws Exception {
		this.timer.shutdownNow();
		assertThat(codeOf(find(1, ResultCode.NOT_LEADER)), is(ResultCode.NOT_LEADER));
	}

}
