package org.zinniatack.core.usage;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link UsageLedger} with repeated, late and partial reports, and of
 * {@link UsageBackup}.
 */
class UsageLedgerTests {

	private static final UsageFigure FIGURE = new UsageFigure("a", "r", 1, 10, false);

	private final UsageLedger ledger = new UsageLedger();

	@Test
	void aReportThatIsSentAgainCountsOnce() {
		this.ledger.record("entry", 1, 0, List.of(FIGURE));
		this.ledger.record("entry", 1, 0, List.of(FIGURE));
		this.ledger.record("entry", 2, 0, List.of(FIGURE));
		this.ledger.close(0, 100);
		assertThat(this.ledger.closedWindows().get(0).figures(), contains(new UsageFigure("a", "r", 2, 20, false)));
	}

	@Test
	void lateUsageGoesIntoTheNextWindowAndIsMarked() {
		this.ledger.close(0, 100);
		this.ledger.record("entry", 1, 50, List.of(FIGURE));
		this.ledger.record("entry", 2, 150, List.of(FIGURE));
		this.ledger.close(100, 200);
		assertThat(this.ledger.closedWindows().get(0).figures().size(), is(0));
		assertThat(this.ledger.closedWindows().get(1).figures(), contains(FIGURE, FIGURE.markedLate()));
	}

	@Test
	void aWindowIsClosedOnce() {
		this.ledger.record("entry", 1, 0, List.of(FIGURE));
		this.ledger.close(0, 100);
		UsageWindow closed = this.ledger.oldestUnacknowledged().orElseThrow();
		this.ledger.record("entry", 2, 0, List.of(FIGURE));
		this.ledger.close(0, 100);
		assertThat(this.ledger.oldestUnacknowledged().orElseThrow(), equalTo(closed));
		this.ledger.acknowledge(0);
		assertThat(this.ledger.oldestUnacknowledged().isPresent(), is(false));
	}

	@Test
	void usageOfALaterWindowStaysOpen() {
		this.ledger.record("entry", 1, 100, List.of(FIGURE));
		this.ledger.close(0, 100);
		assertThat(this.ledger.closedWindows().get(0).figures().size(), is(0));
		UsageLedger copy = UsageLedger.of(this.ledger.image());
		copy.close(100, 200);
		assertThat(copy.closedWindows().get(1).figures(), contains(FIGURE));
	}

	@Test
	void partsThatWitnessesReportBeforeTheReportItselfCountOnce() {
		UsagePart part = new UsagePart("entry", 1, "agent/1", 0, List.of(FIGURE));
		this.ledger.record(part);
		this.ledger.record(part);
		this.ledger.record(new UsagePart("entry", 1, "other/1", 0, List.of(FIGURE)));
		UsageLedger copy = UsageLedger.of(this.ledger.image());
		copy.record("entry", 1, 0, List.of(new UsageFigure("a", "r", 3, 35, false)));
		copy.record(new UsagePart("entry", 1, "third/1", 0, List.of(FIGURE)));
		copy.close(0, 100);
		assertThat(copy.closedWindows().get(0).figures(), contains(new UsageFigure("a", "r", 3, 35, false)));
	}

	@Test
	void aPartOfAClosedWindowIsLateAndIsNotCountedAgainWithItsReport() {
		this.ledger.close(0, 100);
		this.ledger.record(new UsagePart("entry", 1, "agent/1", 50, List.of(FIGURE)));
		this.ledger.record("entry", 1, 50, List.of(FIGURE));
		this.ledger.close(100, 200);
		assertThat(this.ledger.closedWindows().get(1).figures(), contains(FIGURE.markedLate()));
	}

	@Test
	void aWitnessReportsWhatASourceLeftOnlyOnceItStaysLost() {
		UsageBackup backup = new UsageBackup("agent", 100);
		backup.hold("lost", 1, 0, FIGURE);
		backup.hold("lost", 2, 0, FIGURE);
		backup.hold("lost", 2, 0, FIGURE);
		backup.hold("back", 7, 0, FIGURE);
		backup.releaseThrough("lost", 1);
		backup.sourceDisconnected("lost", 1_000);
		backup.sourceDisconnected("back", 1_000);
		backup.sourceConnected("back");
		assertThat(backup.nextDuePart(1_099).isPresent(), is(false));
		assertThat(backup.hasDisconnectedSource(), is(true));
		UsagePart due = backup.nextDuePart(1_100).orElseThrow();
		assertThat(due, equalTo(new UsagePart("lost", 2, "agent/1", 0, List.of(FIGURE.plus(FIGURE)))));
		assertThat(backup.nextDuePart(2_000).orElseThrow(), equalTo(due));
		backup.acknowledgePart(due);
		assertThat(backup.nextDuePart(2_000).isPresent(), is(false));
		assertThat(backup.hasDisconnectedSource(), is(false));
		assertThat(backup.heldReportCount(), is(1));
	}

}
