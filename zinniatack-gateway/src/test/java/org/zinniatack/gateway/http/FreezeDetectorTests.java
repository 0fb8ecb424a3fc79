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

	@Test
	void bytesMayHaveWaitedForAsLongAsTheProcessStoodStill() {
		this.detector.check(1_000_000, 0);
		this.detector.check(1_000_200, 200);
		assertThat(this.detector.unreadMs(200), is(0L));
		this.detector.check(1_005_400, 400);
		assertThat("the VM was suspended", this.detector.unreadMs(401), is(5_200L));
		this.detector.check(1_005_600, 600);
		assertThat("what had arrived is read", this.detector.unreadMs(600), is(0L));
		this.detector.check(1_008_600, 3_600);
		assertThat("the process was stopped", this.detector.unreadMs(3_601), is(3_000L));
	}

}
