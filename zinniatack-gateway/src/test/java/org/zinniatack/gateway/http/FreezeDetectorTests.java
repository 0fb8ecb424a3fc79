package org.zinniatack.gateway.http;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link FreezeDetector}.
 */
class FreezeDetectorTests {

	private final FreezeDetector detector = new FreezeDetector();

	@Test
	void timeThatOnlyTheClockOfTheDaySawIsAFreeze() {
		assertThat(this.detector.check(1_000_000, 50), is(false));
		assertThat(this.detector.check(1_000_200, 250), is(false));
		assertThat(this.detector.check(1_005_400, 450), is(true));
		assertThat(this.detector.hasRecentlyResumed(451), is(true));
		assertThat(this.detector.hasRecentlyResumed(1_000), is(false));
	}

	@Test
	void aClockThatIsSetBackOrABusyMachineIsNoFreeze() {
		this.detector.check(1_000_000, 0);
		assertThat(this.detector.check(997_000, 200), is(false));
		assertThat(this.detector.check(1_003_000, 6_200), is(false));
	}

}
