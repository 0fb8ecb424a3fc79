package org.zinniatack.core.weight;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ModelShares}.
 */
class ModelSharesTests {

	@Test
	void eachModelGetsTargetsByItsNeed() {
		assertThat(ModelShares.targetsByModel(6, Map.of("a", 5L, "b", 5L)), is(Map.of("a", 3, "b", 3)));
		assertThat(ModelShares.targetsByModel(31, Map.of("a", 60L, "b", 160L, "c", 140L, "d", 20L)),
				is(Map.of("a", 5, "b", 13, "c", 11, "d", 2)));
	}

	@Test
	void aModelWithoutWorkKeepsTargetsForItsNextStep() {
		assertThat(ModelShares.targetsByModel(6, Map.of("a", 100L, "b", 0L)), is(Map.of("a", 4, "b", 2)));
		assertThat(ModelShares.targetsByModel(2, Map.of("a", 9L, "b", 1L, "c", 1L)),
				is(Map.of("a", 1, "b", 1, "c", 1)));
	}

}
