package org.zinniatack.core.duty;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link DutyTurns}.
 */
class DutyTurnsTests {

	private static final long LEASE_MS = 3_000;

	private static final long SEPARATION_MS = LEASE_MS + DutyTurns.TRANSIT_MS;

	private static final DutyClaim CLAIM = new DutyClaim("a", false);

	private final DutyTurns turns = new DutyTurns("a", LEASE_MS);

	private static DutyHolders holders(String... names) {
		return new DutyHolders(List.of(names));
	}

	@Test
	void theFirstLeaderOfASystemClaimsAtOnce() {
		this.turns.begin(1, DutyHolders.none(), 100, 100);
		assertThat(this.turns.due(100), is(Optional.of(CLAIM)));
	}

	@Test
	void aLeaderDoesNotActBeforeItsClaimIsCommitted() {
		this.turns.begin(1, DutyHolders.none(), 100, 100);
		assertThat(this.turns.actingTerm(), is(OptionalLong.empty()));
		this.turns.committed(CLAIM, 120);
		assertThat(this.turns.actingTerm(), is(OptionalLong.of(1)));
	}

	@Test
	void aLeaderThatFollowsItselfActsAtOnce() {
		this.turns.begin(7, holders("b", "a"), 100, 100);
		assertThat(this.turns.actingTerm(), is(OptionalLong.of(7)));
	}

	@Test
	void aLeaderThatHasNotActedLatelyClaimsAtOnceAfterARestartOfAll() {
		this.turns.begin(7, holders("b"), 100, 100);
		assertThat(this.turns.due(100), is(Optional.of(CLAIM)));
	}

	// Guards against a restarted process that acts again although another has acted
	// since and the lease of its own last act has not passed (issue 58, ONE).
	@Test
	void aReplacedHolderClaimsOnceTheLeaseHasPassedSinceItsLastAct() {
		this.turns.begin(9, holders("a", "b"), 100, 900);
		assertThat(this.turns.waitMs(900), is(100 + SEPARATION_MS - 900));
		assertThat(this.turns.due(100 + SEPARATION_MS - 1), is(Optional.empty()));
		assertThat(this.turns.due(100 + SEPARATION_MS), is(Optional.of(CLAIM)));
	}

	// Guards against a process that was restarted while it waited, and then takes itself
	// for the holder that it was not yet (issue 58, ONE).
	@Test
	void aHolderThatWaitsIsNotRecorded() {
		this.turns.begin(9, holders("a", "b"), 100, 900);
		assertThat(this.turns.holders().isPresent("a"), is(false));
		this.turns.begin(11, holders("a", "b"), 1_000, 1_200);
		assertThat(this.turns.due(1_000 + SEPARATION_MS - 1), is(Optional.empty()));
	}

	@Test
	void othersAreForgottenOnceTheirActsAreOlderThanTheLease() {
		this.turns.begin(3, holders("b"), 100, 100);
		this.turns.committed(CLAIM, 200);
		assertThat(this.turns.due(200 + SEPARATION_MS - 1), is(Optional.empty()));
		DutyClaim sole = new DutyClaim("a", true);
		assertThat(this.turns.due(200 + SEPARATION_MS), is(Optional.of(sole)));
		this.turns.committed(sole, 200 + SEPARATION_MS);
		assertThat(this.turns.holders(), is(holders("a")));
		assertThat(this.turns.due(200 + 2 * SEPARATION_MS), is(Optional.empty()));
	}

	// Guards against a claim of an earlier term that is committed late and drops a
	// holder that has acted since.
	@Test
	void aLateClaimDropsNoLaterHolder() {
		assertThat(holders("a", "b").with(new DutyClaim("a", true)), is(holders("a", "b")));
		assertThat(holders("b", "c").with(CLAIM), is(holders("b", "c", "a")));
	}

	@Test
	void aLeaseOfZeroLetsHoldersTakeTurns() {
		DutyTurns unbounded = new DutyTurns("a", 0);
		unbounded.begin(9, holders("a", "b"), 100, 100);
		assertThat(unbounded.due(100), is(Optional.of(CLAIM)));
	}

}
