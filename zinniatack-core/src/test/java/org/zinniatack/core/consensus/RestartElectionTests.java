package org.zinniatack.core.consensus;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.zinniatack.core.consensus.SimulatedCluster.Defect;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Pattern: all processes are killed or lose power at once and restart together. No leader
 * is left whose lease has to run out.
 */
class RestartElectionTests {

	private static final int SEED_COUNT = 200;

	private static final long LIMIT_MS = 5_000;

	/** A process starts for longer than an election timeout. */
	private static final long STARTUP_MS = 600;

	private static final long CUT_MS = 1_000;

	private static final long QUICK_RESTART_MS = 20;

	/** The longest first delay, and an election of a few round trips. */
	private static final long EXPECTED_MEAN_MS = 250;

	@ParameterizedTest
	@CsvSource({ "3", "5" })
	void replicasThatStartTogetherNeedNoElectionTimeout(int size) {
		long sumMs = 0;
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			SimulatedCluster cluster = new SimulatedCluster(seed, size, Defect.NONE);
			cluster.runWithoutFaults(LIMIT_MS);
			sumMs += cluster.restartAllUntilLease(STARTUP_MS, LIMIT_MS);
		}
		assertThat(sumMs / SEED_COUNT, lessThanOrEqualTo(EXPECTED_MEAN_MS));
	}

	private static long countSeedsWithTwoLeases(Defect injectedDefect) {
		long broken = 0;
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			SimulatedCluster cluster = new SimulatedCluster(seed, 3, injectedDefect);
			cluster.runWithoutFaults(LIMIT_MS);
			try {
				cluster.restartTheOnlyWitnessOfALease(CUT_MS, QUICK_RESTART_MS);
			}
			catch (AssertionError ex) {
				broken++;
			}
		}
		return broken;
	}

	@Test
	void aReplicaThatRestartsQuicklyWithholdsItsVoteUntilALeaseItConfirmedHasEnded() {
		assertThat(countSeedsWithTwoLeases(Defect.NONE), is(0L));
		assertThat(countSeedsWithTwoLeases(Defect.EARLY_START), greaterThan(0L));
	}

}
