package org.zinniatack.gateway.target;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link TargetStats}: when a target that failed gets requests again.
 */
class TargetStatsTests {

	private static final long LAST_FAILURE_MS = 10_000;

	private final TargetStats stats = new TargetStats();

	private void failRepeatedly() {
		for (long nowMs = 0; nowMs <= LAST_FAILURE_MS; nowMs += 100) {
			this.stats.recordUnreachable(nowMs);
		}
	}

	/** Items waited for seconds although all of the avoided targets were back. */
	@Test
	void aTargetThatFailedRepeatedlyIsALastResortAfterASecond() {
		failRepeatedly();
		assertThat(this.stats.isUsable(LAST_FAILURE_MS + 1_000), is(false));
		assertThat(this.stats.isLastResort(LAST_FAILURE_MS + 999), is(false));
		assertThat(this.stats.isLastResort(LAST_FAILURE_MS + 1_000), is(true));
	}

	@Test
	void aTargetThatRefusesIsNoLastResort() {
		this.stats.avoidUntil(100);
		assertThat(this.stats.isUsable(99), is(false));
		assertThat(this.stats.isLastResort(99), is(false));
		assertThat(this.stats.isUsable(100), is(true));
	}

	/**
	 * Items waited for seconds beside a target that was back, while the others were full.
	 */
	@Test
	void aLastResortGetsOneRequestUntilItAnswers() {
		failRepeatedly();
		this.stats.recordSent();
		assertThat(this.stats.isLastResort(LAST_FAILURE_MS + 1_000), is(false));
		this.stats.recordAnswering();
		assertThat(this.stats.isUsable(LAST_FAILURE_MS + 1_000), is(true));
	}

	@Test
	void aSuccessEndsTheGrowthOfTheAvoidance() {
		failRepeatedly();
		this.stats.recordSuccess();
		this.stats.recordUnreachable(2 * LAST_FAILURE_MS);
		assertThat(this.stats.isUsable(2 * LAST_FAILURE_MS + 499), is(false));
		assertThat(this.stats.isUsable(2 * LAST_FAILURE_MS + 500), is(true));
	}

}
