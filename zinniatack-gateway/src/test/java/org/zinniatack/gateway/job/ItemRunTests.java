package org.zinniatack.gateway.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobCall;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobLedger;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.OwnerMatch;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests that the progress of an item, stored in parts while it runs, always adds up to
 * the whole output, whichever run resumes it.
 */
class ItemRunTests {

	private static final JobItem ITEM = new JobItem("i", "g", "/p/", Map.of(), new byte[0], "", 0, null);

	private final JobLedger ledger = new JobLedger();

	private static JobSubmission submission(String name, long oldestVersion) {
		return new JobSubmission(new JobId("c", name), "h", "m", oldestVersion, 0, 7_500, 40_000, List.of(ITEM));
	}

	private JobSubmission submitted(String name, long oldestVersion) {
		JobSubmission job = submission(name, oldestVersion);
		this.ledger.submit(job);
		return job;
	}

	private OpenJob opened(JobSubmission submission) {
		Job job = job(submission);
		return OpenJob.of(job, EarlierOutputs.of(List.of(job), this.ledger.jobs()));
	}

	/** Returns a run that resumes from the stored state. */
	private ItemRun resumedRun(JobSubmission job) {
		ItemRun run = run(job);
		run.restore(opened(job).stored().get("i"));
		return run;
	}

	private static ItemRun run(JobSubmission job) {
		ItemRun run = new ItemRun(job, ITEM, 0, new EventText((line) -> OptionalLong.empty()), 0);
		run.phase = ItemRun.Phase.GENERATING;
		return run;
	}

	private static void read(ItemRun run, int first, int last) {
		run.text.beginStream(3, "");
		for (int event = first; event <= last; event++) {
			run.text.read(Unpooled.copiedBuffer("id: " + event + "\ndata: e" + event + "\n\n", StandardCharsets.UTF_8));
		}
	}

	private void store(ItemRun run, boolean acknowledged) throws ServiceException {
		ItemRun.PendingProgress pending = run.beginStoring();
		this.ledger.storeProgress(run.job.id(), List.of(pending.progress()));
		if (acknowledged) {
			pending.succeed();
		}
		else {
			pending.fail();
		}
	}

	private boolean isRefused(ItemRun.PendingProgress pending) {
		try {
			this.ledger.storeProgress(pending.run().job.id(), List.of(pending.progress()));
			return false;
		}
		catch (ServiceException ex) {
			return ex.code() == ResultCode.REVISION_CONFLICT;
		}
	}

	private String finish(ItemRun run) throws ServiceException {
		ItemOutcome outcome = run.outcome("");
		this.ledger.addResults(run.job.id(), List.of(outcome.result()), Map.of("i", outcome.storedEventCount()));
		return job(run.job).result("i").orElseThrow().text();
	}

	private Job job(JobSubmission submission) {
		return this.ledger.job(submission.id()).orElseThrow();
	}

	private static String text(int last) {
		StringBuilder text = new StringBuilder("e1");
		for (int event = 2; event <= last; event++) {
			text.append("\ne").append(event);
		}
		return text.toString();
	}

	@Test
	void storedAndUnstoredEventsMakeTheWholeOutput() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun run = run(job);
		assertThat(run.hasProgressToStore(), is(false));
		read(run, 1, 12);
		assertThat(run.hasProgressToStore(), is(true));
		store(run, true);
		assertThat(run.hasProgressToStore(), is(false));
		read(run, 13, 25);
		store(run, false);
		assertThat(finish(run), is(text(25)));
	}

	@Test
	void anOutputThatIsStoredToItsLastEventIsWhole() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun run = run(job);
		read(run, 1, 12);
		store(run, true);
		assertThat(finish(run), is(text(12)));
	}

	@Test
	void anAcknowledgementAfterANewBeginningIsIgnored() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun run = run(job);
		read(run, 1, 12);
		ItemRun.PendingProgress late = run.beginStoring();
		this.ledger.storeProgress(job.id(), List.of(late.progress()));
		run.restart();
		late.succeed();
		read(run, 1, 5);
		assertThat(finish(run), is(text(5)));
	}

	@Test
	void anotherLeaderGoesOnAfterTheStoredEvents() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun first = run(job);
		read(first, 1, 12);
		store(first, true);
		read(first, 13, 20);
		ItemRun second = resumedRun(job);
		assertThat(second.text.lastEventId(), is(12L));
		read(second, 13, 24);
		store(second, true);
		read(second, 25, 25);
		assertThat(finish(second), is(text(25)));
	}

	@Test
	void aGroupThatComesAgainGoesOnWhereItsVersionsFit() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun run = run(job);
		read(run, 1, 12);
		store(run, true);
		this.ledger.end(new JobCall(job.id(), OwnerMatch.EXACT), 1);
		JobSubmission fitting = submitted("k", 3);
		JobSubmission newer = submitted("l", 4);
		assertThat(opened(newer).stored().isEmpty(), is(true));
		ItemRun again = resumedRun(fitting);
		assertThat(again.restoredComplete, is(false));
		read(again, 13, 24);
		store(again, true);
		read(again, 25, 26);
		assertThat(finish(again), is(text(26)));
	}

	@Test
	void aGroupThatComesAgainKeepsItsWholeOutputs() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun run = run(job);
		read(run, 1, 12);
		finish(run);
		this.ledger.end(new JobCall(job.id(), OwnerMatch.EXACT), 1);
		ItemRun second = resumedRun(submitted("k", 3));
		assertThat(second.restoredComplete, is(true));
		assertThat(finish(second), is(text(12)));
	}

	@Test
	void anotherCustomersTextIsNeverUsed() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		finish(runWithOutput(job));
		JobSubmission otherCustomerJob = new JobSubmission(new JobId("other", "k"), "h", "m", 1, 0, 7_500, 40_000,
				List.of(ITEM));
		this.ledger.submit(otherCustomerJob);
		assertThat(opened(otherCustomerJob).stored().isEmpty(), is(true));
	}

	private static ItemRun runWithOutput(JobSubmission job) {
		ItemRun run = run(job);
		read(run, 1, 12);
		return run;
	}

	/**
	 * A leader loses its lease and regains it in the same term. Progress that the earlier
	 * run proposed is stored after the later run has read the state.
	 */
	@Test
	void progressOfAnEarlierRunThatArrivesLateChangesNoResult() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun first = run(job);
		read(first, 1, 12);
		store(first, true);
		read(first, 13, 25);
		ItemRun.PendingProgress late = first.beginStoring();
		ItemRun second = resumedRun(job);
		this.ledger.storeProgress(job.id(), List.of(late.progress()));
		read(second, 13, 30);
		ItemRun.PendingProgress refused = second.beginStoring();
		assertThat(this.ledger.job(job.id()).orElseThrow().partialText("i").orElseThrow().events().size(), is(25));
		assertThat(isRefused(refused), is(true));
		refused.fail();
		store(second, true);
		read(second, 31, 31);
		assertThat(finish(second), is(text(31)));
	}

	@Test
	void aResultLeavesOutOnlyWhatTheLogConfirmedToItsOwnRun() throws ServiceException {
		JobSubmission job = submitted("j", 1);
		ItemRun first = run(job);
		read(first, 1, 12);
		store(first, true);
		ItemRun second = resumedRun(job);
		read(second, 13, 14);
		assertThat(second.outcome("").storedEventCount(), is(0));
		assertThat(finish(second), is(text(14)));
	}

	/** An item under which many targets crashed was delayed as if it crashed them. */
	@Test
	void lossesAfterFurtherEventsDoNotDelayAnItem() {
		ItemRun run = run(submitted("j", 1));
		for (int loss = 0; loss < 100; loss++) {
			run.beginAttempt(loss);
			run.attemptEventCount = 1;
			assertThat(run.recordLoss(), is(0L));
		}
	}

	@Test
	void lossesWithoutAnEventDelayAnItemUntilTheNextEvent() {
		ItemRun run = run(submitted("j", 1));
		run.beginAttempt(0);
		List<Long> pausesMs = Stream.generate(run::recordLoss).limit(5).toList();
		assertThat(pausesMs, contains(0L, 0L, 0L, 250L, 250L));
		run.attemptEventCount = 1;
		assertThat(run.recordLoss(), is(0L));
	}

}
