package org.zinniatack.entry;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.zinniatack.entry.SimulatedSystem.Defect;
import org.zinniatack.entry.SimulatedSystem.Fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

/**
 * Injects faults into the handling of requests and samples at events drawn from seeds,
 * and checks that no invariant is violated. {@code -Dzinniatack.seed=N} runs only the
 * seed N, {@code -Dzinniatack.seeds=N} runs N seeds.
 */
class RequestFaultMatrixTests {

	private static final int SEEDS = Integer.getInteger("zinniatack.seeds", 60);

	private static final int MAXIMUM_DEFECT_SEEDS = 200;

	private static void run(long seed, boolean poison, Defect defect, Fault... faults) {
		try {
			int events = new SimulatedSystem(seed, poison, Defect.NONE).run();
			SimulatedSystem system = new SimulatedSystem(seed, poison, defect);
			Random random = new Random(seed);
			for (Fault fault : faults) {
				system.scheduleFault(1 + random.nextInt(events), fault);
			}
			system.run();
			if (faults.length == 1) {
				system.requireServed(faults[0]);
			}
		}
		catch (AssertionError | RuntimeException ex) {
			throw new AssertionError(ex + " with " + List.of(faults) + "; repeat with: mvn -pl zinniatack-entry test "
					+ "-Dtest=RequestFaultMatrixTests -Dzinniatack.seed=" + seed, ex);
		}
	}

	private static void runSeeds(boolean poison, Fault... faults) {
		Long only = Long.getLong("zinniatack.seed");
		for (long seed = (only != null) ? only : 1; seed <= ((only != null) ? only : SEEDS); seed++) {
			run(seed, poison, Defect.NONE, faults);
		}
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void oneFaultAtAnyEventBreaksNoInvariant(Fault fault) {
		runSeeds(false, fault);
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void aFaultBesideAPoisonousRequestBreaksNoInvariant(Fault fault) {
		runSeeds(true, fault);
	}

	@ParameterizedTest
	@CsvSource({ "AT_MOST_ONCE_REPEATED, AGENT_LOST, ran twice",
			"FINAL_RESULT_DUPLICATED, ANSWERS_LATE, two final results",
			"WITHDRAWAL_NOT_SENT, KEY_WITHDRAWN, although its key is withdrawn",
			"SLOT_NOT_RELEASED, LINK_CUT, counts a running request", "RESUME_OFFSET_IGNORED, TARGET_CRASHED, has a gap",
			"CRASH_NOT_REPORTED, LOADS_LATE, crashed a third target", "TEXT_OF_OTHER_REQUEST, LOADS_LATE, has a gap",
			"BYSTANDERS_QUARANTINED, LOADS_LATE, ' of a: '", "NOT_RUN_MISREPORTED, AGENT_LOST, was reported as not run",
			"FINAL_RESULT_LOST, ANSWER_CUT, unanswered" })
	void eachDeliberateBreakIsFound(Defect defect, Fault fault, String finding) {
		String found = "nothing";
		for (long seed = 1; seed <= MAXIMUM_DEFECT_SEEDS && !found.contains(finding); seed++) {
			try {
				run(seed, true, defect, fault);
			}
			catch (AssertionError ex) {
				found = String.valueOf(ex.getMessage());
			}
		}
		assertThat(found, containsString(finding));
	}

	@Test
	void twoFaultsTogetherBreakNoInvariant() {
		for (Fault first : Fault.values()) {
			for (Fault second : Fault.values()) {
				run(1 + first.ordinal() * 31L + second.ordinal(), true, Defect.NONE, first, second);
			}
		}
	}

}
