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
 * An entry's meter, its backups and the ledger of control, with connections, replies and
 * the entry itself lost at random. Whatever is lost, each use counts once.
 */
class UsageFaultMatrixTests {

	private static final int SEEDS = Integer.getInteger("zinniatack.seeds", 2_000);

	private static final int EVENTS = 200;

	private static final long WINDOW_MS = 1_000;

	private static final long LOSS_DELAY_MS = 300;

	private static final long LONG_AFTER_MS = 1_000_000;

	@Test
	void eachUseCountsOnceWhateverIsLost() {
		for (int seed = 0; seed < SEEDS; seed++) {
			World world = new World(new Random(seed), false);
			world.run();
			assertThat("tokens counted, seed " + seed, world.countedTokens(), is(world.usedTokens));
		}
	}

	@Test
	void aPartThatChangesItsIdWhenSentAgainIsFound() {
		boolean found = false;
		for (int seed = 0; seed < SEEDS && !found; seed++) {
			World world = new World(new Random(seed), true);
			world.run();
			found = world.countedTokens() != world.usedTokens;
		}
		assertThat(found, is(true));
	}

	@Test
	void whileControlIsAwayOneReportAnIntervalIsHeld() {
		AtomicLong nowMs = new AtomicLong();
		UsageMeter meter = new UsageMeter(1_000_000, 10_000, nowMs::get,
				(command) -> CompletableFuture.failedFuture(new IllegalStateException("no leader")), (sequence) -> {
				});
		for (int check = 0; check < 80; check++) {
			meter.count("customer", "route", 1, (note) -> {
			});
			nowMs.addAndGet(250);
			meter.tend();
		}
		assertThat(meter.heldCount(), is(2));
	}

	/** One entry, three backups and control. */
	private static final class World {

		private final Random random;

		private final boolean partsAreNew;

		private final List<UsageBackup> backups = new ArrayList<>();

		private final UsageMeter meter;

		private UsageLedger ledger = new UsageLedger();

		private long nowMs = WINDOW_MS;

		private long usedTokens;

		World(Random random, boolean partsAreNew) {
			this.random = random;
			this.partsAreNew = partsAreNew;
			for (int number = 0; number < 3; number++) {
				this.backups.add(new UsageBackup("witness-" + number, LOSS_DELAY_MS));
			}
			this.meter = new UsageMeter(WINDOW_MS, 2 * WINDOW_MS, () -> this.nowMs, this::propose, this::release);
		}

		void run() {
			for (int event = 0; event < EVENTS; event++) {
				this.nowMs += this.random.nextInt(100);
				strike(this.backups.get(this.random.nextInt(this.backups.size())));
			}
			this.backups.forEach((backup) -> backup.sourceDisconnected(this.meter.source(), this.nowMs));
			this.nowMs += LONG_AFTER_MS;
			for (UsageBackup backup : this.backups) {
				while (backup.heldReportCount() > 0) {
					reportPart(backup);
				}
			}
			this.ledger.close(this.ledger.closedUntilMs(), this.nowMs);
		}

		private void strike(UsageBackup backup) {
			switch (this.random.nextInt(10)) {
				case 0 -> backup.sourceDisconnected(this.meter.source(), this.nowMs);
				case 1 -> backup.sourceConnected(this.meter.source());
				case 2 -> reportPart(backup);
				case 3 -> this.meter.tend();
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
				this.ledger.record(this.partsAreNew ? new UsagePart(part.source(), part.sequence(),
						part.part() + this.random.nextInt(), part.windowStartMs(), part.figures()) : part);
				if (this.random.nextBoolean()) {
					backup.acknowledgePart(part);
				}
			});
		}

		private CompletableFuture<Reply> propose(Command command) {
			Command.RecordUsage report = (Command.RecordUsage) command;
			int fate = this.random.nextInt(4);
			if (fate > 0) {
				this.ledger.record(report.source(), report.sequence(), report.windowStartMs(), report.figures());
			}
			return (fate > 1) ? CompletableFuture.completedFuture(new Reply.Accepted(1))
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
