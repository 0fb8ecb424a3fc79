package org.zinniatack.core.weight;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link ModelShares}.
 */
class ModelSharesTests {

	private static ModelShares.Holder holder(String id, long a, long b) {
		return new ModelShares.Holder(id, Map.of("a", a, "b", b), 0);
	}

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

	@Test
	void theTargetsThatKeptUpLoadTheNextVersion() {
		List<ModelShares.Holder> holders = List.of(holder("t1", 3, 1), holder("t2", 1, 3), holder("t3", 3, 1),
				holder("t4", 1, 3));
		assertThat(ModelShares.toLoad("a", 4, holders, 2), contains("t1", "t3"));
		assertThat(ModelShares.toLoad("b", 3, holders, 2), empty());
	}

	@Test
	void aFreshModelTakesTargetsThatNoOtherKeepsBusy() {
		List<ModelShares.Holder> holders = List.of(holder("t1", 5, 1), holder("t2", 1, 1), holder("t3", 5, 1),
				holder("t4", 1, 1));
		assertThat(ModelShares.toLoad("b", 2, holders, 2), contains("t2", "t4"));
	}

	/**
	 * The pattern: several trainers name a version every few seconds on shared targets.
	 */
	@Test
	void manyVersionsOfManyModelsLoadNoMoreThanTheirShares() {
		int targetCount = 31;
		List<String> models = List.of("a", "b", "c", "d");
		List<Map<String, Long>> versions = new ArrayList<>();
		for (int target = 0; target < targetCount; target++) {
			Map<String, Long> held = new HashMap<>();
			models.forEach((model) -> held.put(model, 1L));
			versions.add(held);
		}
		int share = ModelShares.targetsByModel(targetCount, Map.of("a", 1L, "b", 1L, "c", 1L, "d", 1L)).get("d");
		int loads = 0;
		for (long version = 2; version <= 10; version++) {
			for (String model : models) {
				List<ModelShares.Holder> holders = new ArrayList<>();
				for (int target = 0; target < targetCount; target++) {
					holders.add(new ModelShares.Holder(String.valueOf(target), versions.get(target), 0));
				}
				List<String> chosen = ModelShares.toLoad(model, version, holders, share);
				assertThat(chosen, hasSize(share));
				long named = version;
				chosen.forEach((id) -> versions.get(Integer.parseInt(id)).put(model, named));
				loads += chosen.size();
			}
		}
		assertThat(loads, lessThanOrEqualTo(9 * models.size() * share));
		for (Map<String, Long> held : versions) {
			assertThat(held.values().stream().filter((version) -> version > 1).count(), lessThanOrEqualTo(2L));
		}
	}

}
