package org.zinniatack.core.job;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link MovePolicy}.
 */
class MovePolicyTests {

	@Test
	void anItemLeavesATargetThatHasTurnedSlowAfterItsFirstEvents() {
		assertThat(MovePolicy.isWorthMoving(3, 21, 163, 48), is(true));
	}

	@Test
	void anItemThatIsNearlyDoneStays() {
		assertThat(MovePolicy.isWorthMoving(3, 7, 163, 48), is(false));
	}

	@Test
	void anItemThatOutlivedItsEstimateIsExpectedToLastAsLongAgain() {
		assertThat(MovePolicy.isWorthMoving(20, 20, 62, 48), is(false));
		assertThat(MovePolicy.isWorthMoving(60, 20, 62, 48), is(true));
	}

	/** The pattern: pace is measured with noise, and every move makes more noise. */
	@Test
	void targetsOfOneSpeedSwapNoItems() {
		assertThat(MovePolicy.isWorthMoving(150, 20, 52, 46), is(false));
		assertThat(MovePolicy.isWorthMoving(150, 20, 46, 52), is(false));
	}

	@Test
	void nothingMovesToATargetOfUnknownPace() {
		assertThat(MovePolicy.isWorthMoving(150, 20, 163, 0), is(false));
	}

}
