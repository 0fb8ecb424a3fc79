package org.zinniatack.gateway.service;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.table.RouteKind;
import org.zinniatack.gateway.call.Call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests of three control processes and two entries with a request that ends each target
 * that begins to run it and comes again under new ids.
 */
class RepeatedCrashTests {

	private static final int TARGETS = 6;

	private static final int TRIES = 10;

	/** The retries after the crash of the third target that may still reach a target. */
	private static final int ALLOWED_RETRIES = 3;

	/** Each request to it is another one. */
	private static final String ONCE_PATH = "/once";

	@TempDir
	private Path folder;

	private CrashingSystem system;

	@BeforeEach
	void start() throws Exception {
		this.system = new CrashingSystem(this.folder, TARGETS);
	}

	@AfterEach
	void stop() throws Exception {
		this.system.close();
	}

	// A request that crashes targets came again at any entry and was sent on without an
	// end.
	@Test
	void aRequestThatCrashedThreeTargetsReachesNoFurtherOnesUnderNewIds() throws Exception {
		int late = this.system.lateCrashes(TRIES,
				(n) -> this.system.call(RouteKind.IDEMPOTENT, null, CrashingTarget.CRASH_PATH));
		assertThat(this.system.crashes(), hasSize(greaterThan(2)));
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
		assertThat(this.system.send(1, CrashingTarget.CRASH_PATH), is(ResultCode.QUARANTINED));
		assertThat(this.system.send(0, "/other"), is(ResultCode.OK));
	}

	// Guards against a request that counts as new after a change gave its caller's key to
	// another customer.
	@Test
	void aRequestIsKnownThoughChangesGiveItsKeyToOtherCustomers() throws Exception {
		int late = this.system.lateCrashes(TRIES,
				(n) -> this.system.call(RouteKind.IDEMPOTENT, "customer" + n / 2, CrashingTarget.CRASH_PATH));
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
	}

	// Guards against targets that end after a part of their answer and don't count.
	@Test
	void aTargetThatEndsWithinItsAnswerCounts() throws Exception {
		int late = this.system.lateCrashes(TRIES,
				(n) -> this.system.call(RouteKind.IDEMPOTENT, "c", CrashingTarget.CUT_ANSWER_PATH));
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
	}

	// Guards against targets that end within a stream and don't count.
	@Test
	void aTargetThatEndsWithinAStreamCounts() throws Exception {
		int late = this.system.lateCrashes(TRIES,
				(n) -> this.system.call(RouteKind.STREAM, "c", CrashingTarget.CUT_STREAM_PATH));
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
	}

	// Guards against targets that fall silent until their callers have left, start again
	// and don't count.
	@Test
	void aTargetThatFallsSilentUntilItStartsAgainCounts() throws Exception {
		int late = this.system.lateCrashes(2 * TRIES, (n) -> {
			Call call = this.system.call(RouteKind.IDEMPOTENT, "c", CrashingTarget.SILENCE_PATH);
			return new Call(call.requestId(), call.route(), call.customer(), call.method(), call.uri(), call.headers(),
					call.body(), 300);
		});
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
	}

	// Guards against a target's failure that clears a request which ends other targets.
	@Test
	void aFailureOfOneTargetForgetsNoEndOfOthers() throws Exception {
		int late = this.system.lateCrashes(2 * TRIES, (n) -> {
			Call call = this.system.call(RouteKind.IDEMPOTENT, "c", CrashingTarget.CRASH_PATH);
			if (n % 2 == 1) {
				call.headers().set(CrashingTarget.FAIL_HEADER, "1");
			}
			return call;
		});
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
	}

	// Guards against answers to one caller that clear the same request of another, under
	// which targets end.
	@Test
	void answersToOthersForgetNoEndUnderACallersRequest() throws Exception {
		AtomicBoolean stopped = new AtomicBoolean();
		List<ResultCode> codes = new CopyOnWriteArrayList<>();
		Thread other = new Thread(() -> sendUntil(stopped, 0, "other", CrashingTarget.CHOSEN_PATH, codes));
		other.start();
		int late = this.system.lateCrashes(2 * TRIES, (n) -> {
			Call call = this.system.call(RouteKind.IDEMPOTENT, "c", CrashingTarget.CHOSEN_PATH);
			call.headers().set(CrashingTarget.CRASH_HEADER, "1");
			return CrashingSystem.withKey(call, "key under which targets end");
		});
		stopped.set(true);
		other.join();
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
	}

	// A quarantine that one process knows is lost with that process.
	@Test
	void anEntryThatStartsLaterKnowsTheQuarantineThoughAControlProcessIsLost() throws Exception {
		quarantineAtFirstEntry();
		this.system.loseControlProcess();
		this.system.startEntry();
		int crashes = this.system.crashes().size();
		assertThat(this.system.send(2, CrashingTarget.CRASH_PATH), is(ResultCode.QUARANTINED));
		assertThat(this.system.crashes(), hasSize(crashes));
	}

	private void quarantineAtFirstEntry() throws Exception {
		CrashingSystem.await(() -> {
			boolean quarantined = this.system.send(0, CrashingTarget.CRASH_PATH) == ResultCode.QUARANTINED;
			TimeUnit.MILLISECONDS.sleep(CrashingSystem.BETWEEN_TRIES_MS);
			return quarantined;
		});
	}

	// A request whose connections are reset by targets that go on is taken for one that
	// crashes them.
	@Test
	void aRequestWhoseConnectionsAreResetByRunningTargetsIsNeverQuarantined() throws Exception {
		for (int n = 0; n < TRIES; n++) {
			assertThat(this.system.send(n % 2, CrashingTarget.RESET_PATH), is(ResultCode.OUTCOME_UNKNOWN));
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(this.system.suspicions(), is(empty()));
	}

	// Requests that run beside one that crashes their targets are quarantined with it.
	@Test
	void requestsThatShareTheTargetsOfOneThatCrashesThemAreServedAgain() throws Exception {
		AtomicBoolean stopped = new AtomicBoolean();
		List<ResultCode> codes = new CopyOnWriteArrayList<>();
		List<Thread> others = new ArrayList<>();
		for (int n = 0; n < 8; n++) {
			int entry = n % 2;
			String path = "/other" + n / 4;
			Thread thread = new Thread(() -> sendUntil(stopped, entry, null, path, codes));
			thread.start();
			others.add(thread);
		}
		this.system.lateCrashes(TRIES, (n) -> this.system.call(RouteKind.IDEMPOTENT, null, CrashingTarget.CRASH_PATH));
		stopped.set(true);
		for (Thread other : others) {
			other.join();
		}
		assertThat(codes, not(hasItem(ResultCode.QUARANTINED)));
		assertThat(codes.get(codes.size() - 1), is(ResultCode.OK));
		CrashingSystem.await(() -> this.system.suspicions().size() == 1);
	}

	// Guards against innocent requests that keep the one which ends all targets of a
	// small
	// pool from its quarantine.
	@Test
	void aRequestThatEndsAllTargetsOfASmallPoolIsRefusedBesideInnocentOnes(@TempDir Path small) throws Exception {
		this.system.close();
		this.system = new CrashingSystem(small, 3);
		AtomicBoolean stopped = new AtomicBoolean();
		List<ResultCode> codes = new CopyOnWriteArrayList<>();
		List<Thread> others = new ArrayList<>();
		for (int n = 0; n < 8; n++) {
			int entry = n % 2;
			Thread thread = new Thread(() -> sendUntil(stopped, entry, null, ONCE_PATH, codes));
			thread.start();
			others.add(thread);
		}
		int late = this.system.lateCrashes(2 * TRIES,
				(n) -> this.system.call(RouteKind.IDEMPOTENT, null, CrashingTarget.CRASH_PATH));
		stopped.set(true);
		for (Thread other : others) {
			other.join();
		}
		assertThat(late, is(lessThanOrEqualTo(ALLOWED_RETRIES)));
		assertThat(codes.get(codes.size() - 1), is(ResultCode.OK));
	}

	private void sendUntil(AtomicBoolean stopped, int entry, @Nullable String customer, String path,
			List<ResultCode> codes) {
		try {
			while (!stopped.get()) {
				String uri = path.equals(ONCE_PATH) ? path + UUID.randomUUID() : path;
				codes.add(this.system.send(entry, this.system.call(RouteKind.IDEMPOTENT, customer, uri)));
			}
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

}
