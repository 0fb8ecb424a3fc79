package org.zinniatack.core.state;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.SuspectedRequests.Standing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link SuspectedRequests}: which requests are suspected, quarantined and
 * released.
 */
class SuspectedRequestsTests {

	private static final long NOW_MS = 1_000_000;

	private static final long QUARANTINE_MS = TimeUnit.MINUTES.toMillis(1);

	private static final long TRIAL_MS = 30_000;

	private static final long MEMORY_MS = TimeUnit.MINUTES.toMillis(20);

	private final SuspectedRequests requests = new SuspectedRequests();

	private void lose(String digest, String... targets) {
		loseAt(NOW_MS, digest, targets);
	}

	private void loseAt(long atMs, String digest, String... targets) {
		for (String target : targets) {
			this.requests.add(new Suspicion(digest, List.of(target), atMs));
		}
	}

	private Standing standing(String digest) {
		return this.requests.standing(digest, NOW_MS);
	}

	@Test
	void aRequestIsSuspectedAfterTwoTargetsAndQuarantinedAfterThree() {
		lose("d", "t1");
		assertThat(standing("d"), is(Standing.CLEAR));
		lose("d", "t2");
		assertThat(standing("d"), is(Standing.SUSPECT));
		lose("d", "t3");
		assertThat(standing("d"), is(Standing.QUARANTINED));
	}

	@Test
	void oneTargetCountsOnceHoweverOftenItIsReported() {
		lose("d", "t1", "t2", "t2", "t1", "t2");
		assertThat(standing("d"), is(Standing.SUSPECT));
	}

	@Test
	void anAnswerClearsARequest() {
		lose("d", "t1", "t2", "t3");
		assertThat(this.requests.remove("d"), is(true));
		assertThat(standing("d"), is(Standing.CLEAR));
		lose("d", "t4");
		assertThat(standing("d"), is(Standing.CLEAR));
	}

	@Test
	void aRequestThatSharedTheTargetsOfAnotherIsNotQuarantined() {
		lose("poison", "t1", "t2", "t3", "t4");
		lose("innocent", "t2", "t3", "t4");
		assertThat(standing("poison"), is(Standing.QUARANTINED));
		assertThat(standing("innocent"), is(Standing.SUSPECT));
	}

	@Test
	void ofTwoRequestsOnTheSameTargetsNeitherIsQuarantinedUntilOneIsAnswered() {
		lose("poison", "t1", "t2", "t3");
		lose("innocent", "t1", "t2", "t3");
		assertThat(standing("poison"), is(Standing.SUSPECT));
		assertThat(standing("innocent"), is(Standing.SUSPECT));
		this.requests.remove("innocent");
		assertThat(standing("poison"), is(Standing.QUARANTINED));
	}

	@Test
	void ofTwoRequestsOnTheSameTargetsTheOneThatEndsAFurtherOneIsQuarantined() {
		lose("poison", "t1", "t2", "t3");
		lose("innocent", "t1", "t2", "t3");
		lose("poison", "t4");
		assertThat(standing("poison"), is(Standing.QUARANTINED));
		assertThat(standing("innocent"), is(Standing.SUSPECT));
	}

	@Test
	void aRequestIsQuarantinedAfterFiveTargetsWhateverElseTheyRan() {
		lose("one", "t1", "t2", "t3", "t4", "t5");
		lose("other", "t1", "t2", "t3", "t4", "t5");
		assertThat(standing("one"), is(Standing.QUARANTINED));
		assertThat(standing("other"), is(Standing.QUARANTINED));
	}

	@Test
	void aQuarantineEndsAndIsEightTimesAsLongAfterAFailedTrial() {
		lose("d", "t1", "t2", "t3");
		long endMs = NOW_MS + QUARANTINE_MS;
		assertThat(this.requests.standing("d", endMs - 1), is(Standing.QUARANTINED));
		assertThat(this.requests.standing("d", endMs), is(Standing.RELEASED));
		loseAt(endMs, "d", "t4");
		assertThat(this.requests.standing("d", endMs + 8 * QUARANTINE_MS - 1), is(Standing.QUARANTINED));
		assertThat(this.requests.standing("d", endMs + 8 * QUARANTINE_MS), is(Standing.RELEASED));
	}

	// Guards against a sound request that is refused for an hour because a whole pool
	// ended under it.
	@Test
	void theNumberOfTargetsThatEndedBeforeATrialDoesNotMakeTheQuarantineLonger() {
		lose("d", "t1", "t2", "t3", "t4", "t5", "t6");
		assertThat(this.requests.standing("d", NOW_MS + QUARANTINE_MS - 1), is(Standing.QUARANTINED));
		assertThat(this.requests.standing("d", NOW_MS + QUARANTINE_MS), is(Standing.RELEASED));
	}

	@Test
	void aRequestThatIsNotLostAgainIsForgotten() {
		lose("d", "t1", "t2");
		assertThat(this.requests.standing("d", NOW_MS + MEMORY_MS), is(Standing.SUSPECT));
		assertThat(this.requests.effective(NOW_MS + MEMORY_MS), hasSize(1));
		assertThat(this.requests.standing("d", NOW_MS + MEMORY_MS + 1), is(Standing.CLEAR));
		assertThat(this.requests.effective(NOW_MS + MEMORY_MS + 1), empty());
		loseAt(NOW_MS + MEMORY_MS + 1, "d", "t3");
		assertThat(this.requests.standing("d", NOW_MS + MEMORY_MS + 1), is(Standing.CLEAR));
	}

	@Test
	void theNumberOfRequestsAndTargetsIsBounded() {
		for (int n = 0; n < 3_000; n++) {
			lose("d" + n, "t");
			lose("busy", "t" + n);
		}
		assertThat(this.requests.all().size(), is(SuspectedRequests.MAXIMUM_REQUESTS));
		assertThat(this.requests.suspicion("busy").orElseThrow().targets().size(), is(lessThanOrEqualTo(16)));
		assertThat(this.requests.standing("busy", NOW_MS), is(Standing.QUARANTINED));
	}

	// Guards against a quarantine that is forgotten because many other requests were
	// lost.
	@Test
	void aFullTableForgetsRequestsUnderWhichFewTargetsEndedFirst() {
		lose("poison", "t1", "t2", "t3");
		for (int n = 0; n < 3_000; n++) {
			lose("d" + n, "t4");
		}
		assertThat(standing("poison"), is(Standing.QUARANTINED));
		assertThat(this.requests.suspicion("d0").isPresent(), is(false));
		assertThat(this.requests.suspicion("d2999").isPresent(), is(true));
	}

	// Guards against a request that explains its own ends since it is known twice.
	@Test
	void theSameRequestOfOneCallerDoesNotExplainItsEnds() {
		RequestIdentity request = RequestIdentity.of("GET", "h", "/", new byte[0], Sha256Digest.of("key"));
		request.digests().forEach((digest) -> lose(digest, "t1", "t2", "t3"));
		request.digests().forEach((digest) -> assertThat(standing(digest), is(Standing.QUARANTINED)));
	}

	@Test
	void theReplicatedStateKeepsLostRequestsUntilTheyAreAnsweredOrLifted() throws ServiceException {
		ControlState state = new ControlState();
		state.apply(1,
				Command.ReportCrash.ofLosses(List.of(),
						List.of(new Suspicion("a", List.of("t1", "t2", "t3"), NOW_MS),
								new Suspicion("b", List.of("t4", "t5"), NOW_MS),
								new Suspicion("c", List.of("t6", "t7"), NOW_MS))));
		ControlState restored = ControlState.of(state.image());
		assertThat(restored.image(), equalTo(state.image()));
		assertThat(restored.lostRequests().quarantined(NOW_MS), contains("a"));
		restored.apply(2, new Command.LiftQuarantine("a"));
		restored.apply(3, new Command.ClearSuspect("b"));
		restored.apply(4, Command.ReportCrash.ofLosses(List.of("c"), List.of()));
		assertThat(restored.lostRequests().all(), empty());
		assertThat(restored.crashes().crashIds(), empty());
	}

	@Test
	void aTrialIsGrantedOnceUntilItsOutcomeIsKnownOrItsTimeIsOver() throws ServiceException {
		ControlState state = new ControlState();
		assertThat(mayTry(state, NOW_MS), is(true));
		ControlState restored = ControlState.of(state.image());
		assertThat(mayTry(restored, NOW_MS + TRIAL_MS - 1), is(false));
		assertThat(mayTry(restored, NOW_MS + TRIAL_MS), is(true));
		restored.apply(1, Command.ReportCrash.ofLosses(List.of(), List.of(new Suspicion("d", List.of("t4"), NOW_MS))));
		assertThat(mayTry(restored, NOW_MS + TRIAL_MS + 1), is(true));
	}

	private static boolean mayTry(ControlState state, long atMs) throws ServiceException {
		return state.apply(1, Command.ReportCrash.ofTrial("d", atMs)) instanceof Reply.Accepted;
	}

}
