package org.zinniatack.core.weight;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.JobId;
import org.zinniatack.core.weight.StepVersions.ObservedStep;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link StepVersions}.
 */
class StepVersionsTests {

	private final StepVersions versions = new StepVersions();

	private static ObservedStep step(String name, long oldestVersion) {
		return new ObservedStep(new JobId("c1", name), oldestVersion);
	}

	@Test
	void theNextStepAcceptsOneVersionMoreOnceItsOwnIsAnnounced() {
		this.versions.observe(5, List.of(step("a", 4)));
		assertThat(this.versions.oldestUsable(5), is(4L));
		assertThat(this.versions.oldestUsable(6), is(5L));
	}

	@Test
	void aTrainerThatAcceptsOnlyTheNewestVersionNeedsItAtOnce() {
		this.versions.observe(4, List.of(step("a", 4)));
		this.versions.observe(5, List.of(step("a", 4), step("b", 5)));
		assertThat(this.versions.oldestUsable(5), is(5L));
		assertThat(this.versions.oldestUsable(6), is(6L));
	}

	@Test
	void aStepThatIsAskedForLateDoesNotWidenTheLag() {
		this.versions.observe(3, List.of());
		this.versions.observe(4, List.of(step("a", 3)));
		this.versions.observe(6, List.of(step("a", 3), step("b", 4)));
		assertThat(this.versions.oldestUsable(6), is(5L));
	}

	@Test
	void theFirstVersionSaysNothingOfTheLag() {
		this.versions.observe(0, List.of());
		this.versions.observe(1, List.of(step("a", 1)));
		assertThat(this.versions.oldestUsable(1), is(1L));
		assertThat(this.versions.oldestUsable(3), is(2L));
	}

}
