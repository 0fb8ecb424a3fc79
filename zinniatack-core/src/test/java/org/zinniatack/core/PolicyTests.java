package org.zinniatack.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.admission.AdmissionController;
import org.zinniatack.core.config.Specification;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.membership.Formation;
import org.zinniatack.core.membership.MemberChange;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.retry.RetryBudget;
import org.zinniatack.core.retry.RetryPolicy;
import org.zinniatack.core.sample.StragglerPolicy;
import org.zinniatack.core.target.Placement;
import org.zinniatack.core.target.ScalingPolicy;
import org.zinniatack.core.weight.Rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of decisions that depend only on their arguments and a passed-in clock:
 * admission, retries, scaling, placement, weight rollout, stragglers and membership.
 */
class PolicyTests {

	private static final Specification.PoolPolicy POOL = new Specification.PoolPolicy("p", 1, 10, 4, 0);

	private static ResultCode admissionResult(AdmissionController admission, Specification.CustomerPolicy policy,
			long waitMs, long nowMs) {
		try {
			admission.admit(policy, waitMs, nowMs);
			return ResultCode.OK;
		}
		catch (ServiceException ex) {
			assertThat(ex.retryAfterMs(), greaterThan(0L));
			return ex.code();
		}
	}

	@Test
	void aRequestThatCannotStartInTimeIsRefusedAtOnceWithATimeToComeBack() {
		Specification.CustomerPolicy policy = new Specification.CustomerPolicy("a", 0, 0, 1_000, 1, 0);
		assertThat(admissionResult(new AdmissionController(), policy, 1_001, 0), is(ResultCode.DEADLINE_UNREACHABLE));
		assertThat(admissionResult(new AdmissionController(), policy, 1_000, 0), is(ResultCode.OK));
	}

	@Test
	void rateConcurrencyAndSpendingAreBounded() {
		AdmissionController admission = new AdmissionController();
		Specification.CustomerPolicy rate = new Specification.CustomerPolicy("a", 1, 0, 1_000, 1, 0);
		assertThat(admissionResult(admission, rate, 0, 0), is(ResultCode.OK));
		assertThat(admissionResult(admission, rate, 0, 0), is(ResultCode.OK));
		assertThat(admissionResult(admission, rate, 0, 0), is(ResultCode.CUSTOMER_LIMIT_REACHED));
		assertThat(admissionResult(admission, rate, 0, 1_000), is(ResultCode.OK));
		Specification.CustomerPolicy concurrency = new Specification.CustomerPolicy("b", 0, 1, 1_000, 1, 0);
		assertThat(admissionResult(admission, concurrency, 0, 0), is(ResultCode.OK));
		assertThat(admissionResult(admission, concurrency, 0, 0), is(ResultCode.CUSTOMER_LIMIT_REACHED));
		admission.release("b");
		assertThat(admissionResult(admission, concurrency, 0, 0), is(ResultCode.OK));
		Specification.CustomerPolicy spending = new Specification.CustomerPolicy("c", 0, 0, 1_000, 1, 3_600);
		assertThat(admissionResult(admission, spending, 0, 0), is(ResultCode.OK));
		admission.charge("c", 700, 0);
		assertThat(admissionResult(admission, spending, 0, 0), is(ResultCode.SPENDING_CEILING_REACHED));
		assertThat(admissionResult(admission, spending, 0, 100_000), is(ResultCode.OK));
	}

	@Test
	void workThatIsNotAdmittedByRateIsStillHeldToTheSpendingCeiling() throws ServiceException {
		AdmissionController admission = new AdmissionController();
		Specification.CustomerPolicy policy = new Specification.CustomerPolicy("a", 0, 0, 1_000, 1, 3_600);
		admission.checkSpendingCeiling(policy, 0);
		admission.charge("a", 700, 0);
		try {
			admission.checkSpendingCeiling(policy, 0);
			throw new AssertionError("the spending ceiling was not enforced");
		}
		catch (ServiceException ex) {
			assertThat(ex.code(), is(ResultCode.SPENDING_CEILING_REACHED));
		}
		admission.checkSpendingCeiling(policy, 100_000);
	}

	@Test
	void onlyWhatMayRunAgainIsTriedAgainAndOnlyWithinTheBudget() {
		RetryPolicy policy = RetryPolicy.within(3, new RetryBudget(0.1, 2));
		assertThat(policy.shouldRetry(new RetryPolicy.Attempt(1, ResultCode.OUTCOME_UNKNOWN, false, false)), is(false));
		assertThat(policy.shouldRetry(new RetryPolicy.Attempt(1, ResultCode.OUTCOME_UNKNOWN, true, true)), is(false));
		assertThat(policy.shouldRetry(new RetryPolicy.Attempt(1, ResultCode.QUARANTINED, true, false)), is(false));
		assertThat(policy.shouldRetry(new RetryPolicy.Attempt(3, ResultCode.TARGET_BUSY, true, false)), is(false));
		assertThat(policy.shouldRetry(new RetryPolicy.Attempt(1, ResultCode.TARGET_BUSY, false, false)), is(true));
		assertThat(policy.shouldRetry(new RetryPolicy.Attempt(1, ResultCode.OUTCOME_UNKNOWN, true, false)), is(true));
		assertThat("budget exhausted",
				policy.shouldRetry(new RetryPolicy.Attempt(1, ResultCode.TARGET_BUSY, true, false)), is(false));
	}

	@Test
	void demandGrowsAtOnceAndShrinksOnlyAfterItsDelay() {
		ScalingPolicy scaling = ScalingPolicy.hysteresis(1_000);
		assertThat(scaling.targetCount(POOL, new ScalingPolicy.Load(8, 12), 1, 0), is(5));
		assertThat(scaling.targetCount(POOL, new ScalingPolicy.Load(0, 4), 5, 100), is(5));
		assertThat(scaling.targetCount(POOL, new ScalingPolicy.Load(0, 8), 5, 600), is(5));
		assertThat(scaling.targetCount(POOL, new ScalingPolicy.Load(0, 4), 5, 1_100), is(2));
		assertThat(scaling.targetCount(POOL, new ScalingPolicy.Load(900, 0), 5, 1_200), is(10));
	}

	@Test
	void placementSpreadsEvenly() {
		assertThat(Placement.spread(7, List.of("c", "a", "b")).toString(), is("{a=3, b=2, c=2}"));
	}

	@Test
	void weightsRollWithoutTakingMoreThanTheAllowedShareAndGiveUpOnATargetThatFails() {
		Rollout rollout = new Rollout(0.5, 100);
		List<Rollout.Target> targets = new ArrayList<>();
		for (int number = 0; number < 4; number++) {
			targets.add(new Rollout.Target("t" + number, 1));
		}
		assertThat(rollout.targetsToLoad(2, targets, 0, 0), containsInAnyOrder("t0", "t1"));
		targets.set(0, new Rollout.Target("t0", 2));
		assertThat(rollout.targetsToLoad(2, targets, 0, 10), containsInAnyOrder("t1", "t2"));
		rollout.targetsToLoad(2, targets, 0, 110);
		rollout.targetsToLoad(2, targets, 0, 210);
		Set<String> loading = rollout.targetsToLoad(2, targets, 0, 310);
		assertThat(rollout.failedTargets(), containsInAnyOrder("t1", "t2"));
		assertThat(loading, contains("t3"));
		assertThat("failed targets are tried again with a newer version", rollout.targetsToLoad(3, targets, 0, 320),
				hasSize(2));
		assertThat(rollout.failedTargets(), empty());
	}

	@Test
	void stragglersAreIssuedAgainOnceMostIsDoneAndWithinTheirShare() {
		StragglerPolicy policy = StragglerPolicy.medianMultiple(100, 3, 0.02);
		for (int number = 0; number < 49; number++) {
			policy.recordDuration(10);
		}
		assertThat(policy.tryReissue(1_000), is(false));
		policy.recordDuration(10);
		assertThat(policy.tryReissue(29), is(false));
		assertThat(policy.tryReissue(30), is(true));
		assertThat(policy.tryReissue(30), is(true));
		assertThat(policy.tryReissue(1_000), is(false));
		assertThat(StragglerPolicy.never().tryReissue(Long.MAX_VALUE), is(false));
	}

	@Test
	void anEmptiedDiskFormsNoSecondSystem() {
		Formation.PeerState empty = new Formation.PeerState("b.1", false);
		Formation.PeerState formed = new Formation.PeerState("c.1", true);
		assertThat(Formation.decide("a.1", 2, List.of(empty)).action(), is(Formation.Action.WAIT));
		assertThat(Formation.decide("a.1", 2, List.of(formed)).action(), is(Formation.Action.JOIN));
		assertThat(Formation.decide("a.1", 2, List.of(empty, formed)).action(), is(Formation.Action.JOIN));
		assertThat(
				Formation.decide("a.1", 2, List.of(empty, new Formation.PeerState("c.1", false))).membership().voters(),
				contains("a.1", "b.1", "c.1"));
	}

	@Test
	void aReplacedReplicaLeavesOnlyAfterItsSuccessorVotes() {
		Membership current = Membership.ofVoters(List.of("a.1", "b.1", "c.1"));
		List<String> joining = List.of("c.2");
		Membership learning = MemberChange.next(current, joining, List.of()).orElseThrow();
		assertThat(learning.voters(), is(current.voters()));
		assertThat(learning.learners(), contains("c.2"));
		assertThat(MemberChange.next(learning, joining, List.of()).isPresent(), is(false));
		Membership voting = MemberChange.next(learning, joining, List.of("c.2")).orElseThrow();
		assertThat(voting.voters(), contains("a.1", "b.1", "c.1", "c.2"));
		assertThat(MemberChange.next(voting, joining, List.of()).orElseThrow().voters(), contains("a.1", "b.1", "c.2"));
	}

	@Test
	void resultCodesHaveDifferentNumbersAndOnlyTrueRefusalsSayNotRun() {
		Set<Integer> numbers = new TreeSet<>();
		for (ResultCode code : ResultCode.values()) {
			numbers.add(code.number());
			assertThat(ResultCode.ofNumber(code.number()).orElseThrow(), is(code));
		}
		assertThat(numbers.size(), is(ResultCode.values().length));
		assertThat(numbers.size(), lessThanOrEqualTo(100));
	}

	@Test
	void loadsOfWeightsBeginNoFasterThanTheStoreBears() {
		Rollout rollout = new Rollout(0, 100_000);
		List<Rollout.Target> targets = new ArrayList<>();
		for (int number = 0; number < 1_000; number++) {
			targets.add(new Rollout.Target("t" + number, 1));
		}
		int before = 0;
		for (long nowMs = 0; nowMs <= 20_000; nowMs += 200) {
			int loading = rollout.targetsToLoad(2, targets, 50, nowMs).size();
			assertThat((long) loading, lessThanOrEqualTo(50 + 50 * nowMs / 1_000));
			assertThat(loading, greaterThanOrEqualTo(before));
			before = loading;
		}
		assertThat(before, is(1_000));
	}

}
