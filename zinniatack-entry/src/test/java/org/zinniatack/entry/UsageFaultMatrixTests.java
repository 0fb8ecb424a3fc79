package org.zinniatack.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.core.usage.UsageBackup;
import org.zinniatack.core.usage.UsageLedger;
import org.zinniatack.core.usage.UsagePart;
import org.zinniatack.wire.Message;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that each usage counts exactly once in the ledger of control while connections,
 * replies and the entry itself are lost at random.
 */
class UsageFaultMatrixTests {

	private static final int SEEDS = Integer.getInteger("zinniatack.seeds", 2_000);

	private static final int EVENTS = 200;

	private static final long WINDOW_MS = 1_000;

	private static final long LOSS_DELAY_MS = 300;

	private static final long FINAL_WAIT_MS = 1_000_000;

	@Test
	void eachUseCountsOnceWhateverIsLost() {
		for (int seed = 0; seed < SEEDS; seed++) {
			Simulation simulation = new Simulation(new Random(seed), false);
			simulation.run();
			assertThat("tokens counted, seed " + seed, simulation.countedTokens(), is(simulation.usedTokens));
		}
	}

	@Test
	void aPartThatChangesItsIdWhenSentAgainIsFound() {
		boolean found = false;
		for (int seed = 0; seed < SEEDS && !found; seed++) {
			Simulation simulation = new Simulation(new Random(seed), true);
			simulation.run();
			found = simulation.countedTokens() != simulation.usedTokens;
		}
		assertThat(found, is(true));
	}

	@Test
	void whileControlIsAwayOneReportAnIntervalIsHeld() {
		AtomicLong nowMs = new AtomicLong();
		UsageMeter meter = new UsageMeter(1_000_000, 10_000, nowMs::get,
				(command) -> CompletableFuture.failedFuture(new IllegalStateException("no leader")), (sequence) -> {
				});
		for (int round = 0; round < 80; round++) {
			meter.count("customer", "route", 1, (note) -> {
			});
			nowMs.addAndGet(250);
			meter.sendDueReports();
		}
		assertThat(meter.heldCount(), is(2));
	}

	/**
	 * Simulates an entry with its usage meter, three backup agents and the usage ledger.
	 */
	private static final class Simulation {

		private final Random random;

		private final boolean changePartIds;

		private final List<UsageBackup> backups = new ArrayList<>();

		private final UsageMeter meter;

		private UsageLedger ledger = new UsageLedger();

		private long nowMs = WINDOW_MS;

		private long usedTokens;

		Simulation(Random random, boolean changePartIds) {
			this.random = random;
			this.changePartIds = changePartIds;
			for (int number = 0; number < 3; number++) {
				this.backups.add(new UsageBackup("backup-" + number, LOSS_DELAY_MS));
			}
			this.meter = new UsageMeter(WINDOW_MS, 2 * WINDOW_MS, () -> this.nowMs, this::propose, this::release);
		}

		void run() {
			for (int event = 0; event < EVENTS; event++) {
				this.nowMs += this.random.nextInt(100);
				applyRandomEvent(this.backups.get(this.random.nextInt(this.backups.size())));
			}
			this.backups.forEach((backup) -> backup.sourceDisconnected(this.meter.source(), this.nowMs));
			this.nowMs += FINAL_WAIT_MS;
			for (UsageBackup backup : this.backups) {
				while (backup.heldReportCount() > 0) {
					reportPart(backup);
				}
			}
			this.ledger.close(this.ledger.closedUntilMs(), this.nowMs);
		}

		private void applyRandomEvent(UsageBackup backup) {
			switch (this.random.nextInt(10)) {
				case 0 -> backup.sourceDisconnected(this.meter.source(), this.nowMs);
				case 1 -> backup.sourceConnected(this.meter.source());
				case 2 -> reportPart(backup);
				case 3 -> this.meter.sendDueReports();
				case 4 -> this.ledger.close(this.ledger.closedUntilMs(), this.nowMs - this.nowMs % WINDOW_MS);
				case 5 -> restartControl();
				default -> use(backup);
			}
		}

		private void restartControl() {
			this.ledger = UsageLedger.of(this.ledger.image());
		}

		private void use(UsageBackup backup) {
			int tokens = 1 + this.random.nextInt(9);
			this.usedTokens += tokens;
			this.meter.count("customer-" + this.random.nextInt(2), "route", tokens, (message) -> {
				Message.UsageNote note = (Message.UsageNote) message;
				backup.hold(note.source(), note.sequence(), note.windowStartMs(), note.figure());
			});
		}

		private void reportPart(UsageBackup backup) {
			Optional<UsagePart> due = backup.nextDuePart(this.nowMs);
			due.ifPresent((part) -> {
				this.ledger.record(this.changePartIds ? new UsagePart(part.source(), part.sequence(),
						part.part() + this.random.nextInt(), part.windowStartMs(), part.figures()) : part);
				if (this.random.nextBoolean()) {
					backup.acknowledgePart(part);
				}
			});
		}

		private CompletableFuture<Reply> propose(Command command) {
			Command.RecordUsage report = (Command.RecordUsage) command;
			int outcome = this.random.nextInt(4);
			if (outcome > 0) {
				this.ledger.record(report.source(), report.sequence(), report.windowStartMs(), report.figures());
			}
			return (outcome > 1) ? CompletableFuture.completedFuture(new Reply.Accepted(1))
					: CompletableFuture.failedFuture(new IllegalStateException("the reply is lost"));
		}

		private void release(long sequence) {
			this.backups.stream()
				.filter((backup) -> this.random.nextBoolean())
				.forEach((backup) -> backup.releaseThrough(this.meter.source(), sequence));
		}

		long countedTokens() {
			return this.ledger.closedWindows()
				.stream()
				.flatMap((window) -> window.figures().stream())
				.mapToLong((figure) -> figure.tokenCount())
				.sum();
		}

	}

}
