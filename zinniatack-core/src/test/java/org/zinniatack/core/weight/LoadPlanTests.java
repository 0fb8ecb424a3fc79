package org.zinniatack.core.weight;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.weight.LoadPlan.Demand;
import org.zinniatack.core.weight.LoadPlan.Load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link LoadPlan}.
 */
class LoadPlanTests {

	private static ModelShares.TargetVersions targetWith(String id, long a, long b) {
		return new ModelShares.TargetVersions(id, Map.of("a", a, "b", b), 0);
	}

	@Test
	void theTargetsThatServeNoNextStepLoadFirstAndTheOthersWaitForTheirTurn() {
		List<ModelShares.TargetVersions> targets = List.of(targetWith("t1", 3, 1), targetWith("t2", 2, 1),
				targetWith("t3", 3, 1), targetWith("t4", 2, 1), targetWith("t5", 1, 5), targetWith("t6", 1, 5));
		assertThat(LoadPlan.loads(new Demand("a", 4, 3, 2), targets),
				contains(new Load("t2", true), new Load("t4", true)));
	}

	@Test
	void halfOfTheTargetsLoadEarlyWhereAllServeTheNextStep() {
		List<ModelShares.TargetVersions> targets = List.of(targetWith("t1", 1, 1), targetWith("t2", 1, 1),
				targetWith("t3", 1, 1), targetWith("t4", 1, 1));
		assertThat(LoadPlan.loads(new Demand("a", 2, 1, 2), targets),
				contains(new Load("t1", false), new Load("t2", false)));
	}

	@Test
	void aVersionThatHalfOfTheTargetsHaveIsLoadedByNoOther() {
		List<ModelShares.TargetVersions> targets = List.of(targetWith("t1", 3, 1), targetWith("t2", 2, 1),
				targetWith("t3", 3, 1), targetWith("t4", 2, 1));
		assertThat(LoadPlan.loads(new Demand("a", 3, 2, 2), targets), empty());
	}

	@Test
	void allTargetsThatServeNoNextStepLoadWhereATrainerAcceptsOnlyTheNewest() {
		List<ModelShares.TargetVersions> targets = List.of(targetWith("t1", 3, 1), targetWith("t2", 3, 1),
				targetWith("t3", 3, 1), targetWith("t4", 3, 1));
		assertThat(LoadPlan.loads(new Demand("a", 4, 4, 2), targets), hasSize(4));
	}

	/** Pattern: a step of long-tailed items while the next version is named. */
	@Test
	void aLoadWaitsForLongItemsOnlyIfItWouldLetThemFinishFirst() {
		Load notUrgent = new Load("t1", false);
		assertThat(notUrgent.mayStart(true, 3), is(true));
		assertThat(notUrgent.mayStart(false, 3), is(false));
		assertThat(notUrgent.mayStart(false, 0), is(true));
		assertThat(new Load("t1", true).mayStart(false, 3), is(true));
	}

	@Test
	void aFreshModelTakesTargetsThatNoOtherKeepsBusy() {
		List<ModelShares.TargetVersions> targets = List.of(targetWith("t1", 5, 1), targetWith("t2", 1, 1),
				targetWith("t3", 5, 1), targetWith("t4", 1, 1));
		assertThat(LoadPlan.loads(new Demand("b", 2, 1, 1), targets), contains(new Load("t2", false)));
	}

	@Test
	void targetsWithoutTheModelLoadNothing() {
		assertThat(LoadPlan.loads(new Demand("c", 2, 2, 2), List.of(targetWith("t1", 1, 1))), empty());
	}

	/**
	 * Guards against loading each version on all targets at once. Several trainers on
	 * shared targets announce a version every few seconds, and each step is requested as
	 * soon as its version is announced.
	 */
	@Test
	void halfOfEachModelsTargetsServeAStepAtOnceWithNoMoreLoadsThanTheirShares() {
		int targetCount = 31;
		List<String> models = List.of("a", "b", "c", "d");
		List<Map<String, Long>> versions = new ArrayList<>();
		for (int target = 0; target < targetCount; target++) {
			Map<String, Long> loaded = new HashMap<>();
			models.forEach((model) -> loaded.put(model, 1L));
			versions.add(loaded);
		}
		int share = ModelShares.targetsByModel(targetCount, Map.of("a", 1L, "b", 1L, "c", 1L, "d", 1L)).get("d");
		int loads = 0;
		for (long version = 2; version <= 10; version++) {
			for (String model : models) {
				long oldest = version - 1;
				assertThat(versions.stream().filter((loaded) -> loaded.get(model) >= oldest).count(),
						greaterThanOrEqualTo((long) share));
				List<ModelShares.TargetVersions> targets = new ArrayList<>();
				for (int target = 0; target < targetCount; target++) {
					targets.add(new ModelShares.TargetVersions(String.valueOf(target), versions.get(target), 0));
				}
				List<Load> chosen = LoadPlan.loads(new Demand(model, version, oldest, share), targets);
				assertThat(chosen, hasSize(share));
				long announced = version;
				chosen.forEach((load) -> versions.get(Integer.parseInt(load.id())).put(model, announced));
				loads += chosen.size();
				assertThat(versions.stream().filter((loaded) -> loaded.get(model) >= oldest).count(),
						greaterThanOrEqualTo(2L * share));
			}
		}
		assertThat(loads, lessThanOrEqualTo(9 * models.size() * share));
		for (Map<String, Long> loaded : versions) {
			assertThat(loaded.values().stream().filter((version) -> version > 1).count(), lessThanOrEqualTo(2L));
		}
	}

}
