package org.zinniatack.gateway.http;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

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

	// Guards against taking a submission that waited for a stopped process for a new one.
	@Test
	void aConnectionThatIsAcceptedAfterAStopMayHaveBeenOpenedWhenItBegan() {
		this.detector.check(1_000_000, 0);
		assertThat(this.detector.openedSinceMs(100), is(100L));
		this.detector.check(1_000_200, 200);
		this.detector.check(1_003_200, 3_200);
		assertThat("the process was stopped", this.detector.openedSinceMs(3_200), is(200L));
		this.detector.check(1_003_400, 3_400);
		assertThat("its queue may be long", this.detector.openedSinceMs(3_400), is(200L));
		this.detector.check(1_063_600, 3_600);
		assertThat("the VM was suspended too", this.detector.elapsedMs(3_600), is(63_600L));
		assertThat(this.detector.openedSinceMs(3_600), is(3_400L));
		assertThat(this.detector.openedSinceMs(13_601), is(73_601L));
	}

	// Guards against memory that grows with each stop of a process nobody connects to.
	@Test
	void stopsAreForgottenWithoutConnections() {
		this.detector.check(1_000_000, 0);
		for (long nowMs = 1_000; nowMs <= 1_000_000; nowMs += 1_000) {
			this.detector.check(1_000_000 + nowMs, nowMs);
		}
		assertThat(this.detector.recentStopCount(), is(lessThan(20)));
	}

}
