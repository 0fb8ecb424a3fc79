package org.zinniatack.core.consensus;

import java.util.EnumSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.zinniatack.core.consensus.SimulatedCluster.Break;
import org.zinniatack.core.consensus.SimulatedCluster.Fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.notNullValue;

/**
 * Drives replicas through faults drawn from seeds. {@code -Dzinniatack.seed=N} runs one
 * seed, {@code -Dzinniatack.seeds=N} another number of them.
 */
class ConsensusFaultMatrixTests {

	private static final int SEEDS = Integer.getInteger("zinniatack.seeds", 400);

	private static final long FAULTY_MS = 20_000;

	private static final long CONVERGENCE_LIMIT_MS = 20_000;

	private static final int BROKEN_SEEDS = 400;

	private static void run(long seed, int size, Set<Fault> faults, Break deliberateBreak) {
		try {
			SimulatedCluster cluster = new SimulatedCluster(seed, size, deliberateBreak);
			cluster.runUnderFaults(FAULTY_MS, faults);
			cluster.healAndConverge(CONVERGENCE_LIMIT_MS);
		}
		catch (AssertionError | RuntimeException ex) {
			throw new AssertionError(ex + "; repeat with: mvn -pl zinniatack-core test "
					+ "-Dtest=ConsensusFaultMatrixTests -Dzinniatack.seed=" + seed, ex);
		}
	}

	private static void runSeeds(int size, Set<Fault> faults) {
		Long only = Long.getLong("zinniatack.seed");
		if (only != null) {
			run(only, size, faults, Break.NONE);
			return;
		}
		for (long seed = 1; seed <= SEEDS; seed++) {
			run(seed, size, faults, Break.NONE);
		}
	}

	@ParameterizedTest
	@CsvSource({ "1", "3", "5", "7" })
	void allFaultsTogetherBreakNoInvariant(int size) {
		runSeeds(size, EnumSet.allOf(Fault.class));
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void eachFaultAloneBreaksNoInvariant(Fault fault) {
		runSeeds(3, EnumSet.of(fault, Fault.MEND_CUTS));
	}

	@Test
	void aHealthyClusterAcceptsChanges() {
		SimulatedCluster cluster = new SimulatedCluster(1, 3, Break.NONE);
		cluster.runUnderFaults(FAULTY_MS, Set.of());
		assertThat(cluster.acceptedCount(), greaterThan(100));
	}

	@ParameterizedTest
	@EnumSource(value = Break.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
	void theChecksFindEachDeliberateBreak(Break deliberateBreak) {
		assertThat("a seed that shows " + deliberateBreak, firstFailure(deliberateBreak), notNullValue());
	}

	private static AssertionError firstFailure(Break deliberateBreak) {
		for (long seed = 1; seed <= BROKEN_SEEDS; seed++) {
			try {
				run(seed, 3, EnumSet.allOf(Fault.class), deliberateBreak);
			}
			catch (AssertionError ex) {
				return ex;
			}
		}
		return null;
	}

}
