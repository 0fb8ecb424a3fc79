package org.zinniatack.agent;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TargetHealthTests {

	private final TargetHealth health = new TargetHealth();

	// Guards against a crash that nobody learns of, so that its request crashes more
	// targets.
	@Test
	void aCrashThatChecksNoticeFirstIsStillCountedOnce() {
		this.health.recordAnswer();
		assertThat(this.health.recordFailedCheck(), is(false));
		assertThat(this.health.recordFailedCheck(), is(true));
		assertThat(this.health.recordCrash(), is(true));
		assertThat(this.health.recordCrash(), is(false));
		assertThat(this.health.crashCount(), is(1L));
	}

	@Test
	void aCrashThatRequestsNoticeFirstIsCountedOnce() {
		this.health.recordAnswer();
		assertThat(this.health.recordCrash(), is(true));
		assertThat(this.health.recordCrash(), is(false));
		assertThat(this.health.recordFailedCheck(), is(false));
		assertThat(this.health.recordFailedCheck(), is(false));
		assertThat(this.health.isHealthy(), is(false));
	}

	@Test
	void aTargetThatAnswersAgainMayCrashAgain() {
		this.health.recordAnswer();
		this.health.recordCrash();
		assertThat(this.health.recordAnswer(), is(true));
		assertThat(this.health.isHealthy(), is(true));
		assertThat(this.health.recordCrash(), is(true));
		assertThat(this.health.crashCount(), is(2L));
	}

	@Test
	void aTargetThatNeverAnsweredCannotCrash() {
		assertThat(this.health.recordCrash(), is(false));
		assertThat(this.health.crashCount(), is(0L));
	}

}
