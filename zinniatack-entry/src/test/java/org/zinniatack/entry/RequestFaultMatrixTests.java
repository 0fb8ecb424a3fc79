package org.zinniatack.entry;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.zinniatack.entry.SimulatedSystem.Break;
import org.zinniatack.entry.SimulatedSystem.Fault;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

/**
 * Strikes the way of requests and samples with faults at events drawn from seeds.
 * {@code -Dzinniatack.seed=N} runs one seed, {@code -Dzinniatack.seeds=N} another number.
 */
class RequestFaultMatrixTests {

	private static final int SEEDS = Integer.getInteger("zinniatack.seeds", 60);

	private static final int BROKEN_SEEDS = 200;

	private static void run(long seed, boolean poison, Break deliberateBreak, Fault... faults) {
		try {
			int events = new SimulatedSystem(seed, poison, Break.NONE).run();
			SimulatedSystem system = new SimulatedSystem(seed, poison, deliberateBreak);
			Random random = new Random(seed);
			for (Fault fault : faults) {
				system.strike(1 + random.nextInt(events), fault);
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
			run(seed, poison, Break.NONE, faults);
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
	@CsvSource({ "REPEATED_ONCE, AGENT_LOST, ran twice", "SECOND_LAST_WORD, ANSWERS_LATE, two last words",
			"WITHDRAWAL_NOT_TOLD, KEY_WITHDRAWN, although its key is withdrawn",
			"SLOT_NOT_GIVEN_BACK, LINK_CUT, counts a run", "RESTARTED_TEXT, TARGET_CRASHED, has a gap",
			"CRASH_NOT_TOLD, LOADS_LATE, took a third target", "TEXT_OF_OTHERS, LOADS_LATE, has a gap",
			"QUARANTINE_FOR_COMPANY, LOADS_LATE, ' of a: '", "SAID_NOT_RUN, AGENT_LOST, was said not to have run",
			"LAST_WORD_LOST, ANSWER_CUT, unanswered" })
	void eachDeliberateBreakIsFound(Break deliberateBreak, Fault fault, String finding) {
		String found = "nothing";
		for (long seed = 1; seed <= BROKEN_SEEDS && !found.contains(finding); seed++) {
			try {
				run(seed, true, deliberateBreak, fault);
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
				run(1 + first.ordinal() * 31L + second.ordinal(), true, Break.NONE, first, second);
			}
		}
	}

}
