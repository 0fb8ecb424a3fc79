package org.zinniatack.direct.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobLedger;
import org.zinniatack.core.job.JobSubmission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that an item's progress, stored piece by piece while it runs, always makes the
 * whole output, whoever goes on with it.
 */
class ItemRunTests {

	private static final JobItem ITEM = new JobItem("i", "g", "/p/", Map.of(), new byte[0], "", 0, null);

	private final JobLedger ledger = new JobLedger();

	private static JobSubmission submission(String name, long oldestVersion) {
		return new JobSubmission(new JobId("c", name), "h", "m", oldestVersion, 0, 7_500, 40_000, List.of(ITEM));
	}

	private static ItemRun run(JobSubmission job) {
		ItemRun run = new ItemRun(job, ITEM, 0, new EventText((line) -> OptionalLong.empty()), 0);
		run.phase = ItemRun.Phase.GENERATING;
		return run;
	}

	private static void read(ItemRun run, int first, int last) {
		run.text.beginStream(3);
		for (int event = first; event <= last; event++) {
			run.text.read(Unpooled.copiedBuffer("id: " + event + "\ndata: e" + event + "\n\n", StandardCharsets.UTF_8));
		}
	}

	private void store(ItemRun run, boolean acknowledged) {
		ItemRun.Storing storing = run.beginStoring();
		this.ledger.note(run.job.id(), List.of(storing.progress()));
		storing.end(acknowledged);
	}

	private String finish(ItemRun run) {
		this.ledger.finish(run.job.id(), List.of(run.result("")), Map.of("i", run.eventsBeforeResult()));
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
	void storedAndUnstoredEventsMakeTheWholeOutput() {
		JobSubmission job = submission("j", 1);
		this.ledger.submit(job);
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
	void anOutputThatIsStoredToItsLastEventIsWhole() {
		JobSubmission job = submission("j", 1);
		this.ledger.submit(job);
		ItemRun run = run(job);
		read(run, 1, 12);
		store(run, true);
		assertThat(finish(run), is(text(12)));
	}

	@Test
	void anAcknowledgementAfterANewBeginningIsIgnored() {
		JobSubmission job = submission("j", 1);
		this.ledger.submit(job);
		ItemRun run = run(job);
		read(run, 1, 12);
		ItemRun.Storing late = run.beginStoring();
		this.ledger.note(job.id(), List.of(late.progress()));
		run.beginAgain();
		late.end(true);
		read(run, 1, 5);
		assertThat(finish(run), is(text(5)));
	}

	@Test
	void anotherLeaderGoesOnAfterTheStoredEvents() {
		JobSubmission job = submission("j", 1);
		this.ledger.submit(job);
		ItemRun first = run(job);
		read(first, 1, 12);
		store(first, true);
		read(first, 13, 20);
		ItemRun second = run(job);
		second.restore(OpenJob.of(job(job), this.ledger.jobs()).stored().get("i"));
		assertThat(second.text.lastId(), is(12L));
		read(second, 13, 24);
		store(second, true);
		read(second, 25, 25);
		assertThat(finish(second), is(text(25)));
	}

	@Test
	void aGroupThatComesAgainGoesOnWhereItsVersionsFit() {
		JobSubmission job = submission("j", 1);
		this.ledger.submit(job);
		ItemRun run = run(job);
		read(run, 1, 12);
		store(run, true);
		this.ledger.end(job.id());
		JobSubmission fitting = submission("k", 3);
		JobSubmission newer = submission("l", 4);
		this.ledger.submit(fitting);
		this.ledger.submit(newer);
		assertThat(OpenJob.of(job(newer), this.ledger.jobs()).stored().isEmpty(), is(true));
		ItemRun again = run(fitting);
		again.restore(OpenJob.of(job(fitting), this.ledger.jobs()).stored().get("i"));
		assertThat(again.storedWhole, is(false));
		read(again, 13, 24);
		store(again, true);
		read(again, 25, 26);
		assertThat(finish(again), is(text(26)));
	}

	@Test
	void aGroupThatComesAgainKeepsItsWholeOutputs() {
		JobSubmission job = submission("j", 1);
		this.ledger.submit(job);
		ItemRun run = run(job);
		read(run, 1, 12);
		finish(run);
		this.ledger.end(job.id());
		JobSubmission again = submission("k", 3);
		this.ledger.submit(again);
		ItemRun second = run(again);
		second.restore(OpenJob.of(job(again), this.ledger.jobs()).stored().get("i"));
		assertThat(second.storedWhole, is(true));
		assertThat(finish(second), is(text(12)));
	}

	@Test
	void anotherCustomersTextIsNeverUsed() {
		JobSubmission job = submission("j", 1);
		this.ledger.submit(job);
		finish(readRun(job));
		JobSubmission stranger = new JobSubmission(new JobId("other", "k"), "h", "m", 1, 0, 7_500, 40_000,
				List.of(ITEM));
		this.ledger.submit(stranger);
		assertThat(OpenJob.of(job(stranger), this.ledger.jobs()).stored().isEmpty(), is(true));
	}

	private static ItemRun readRun(JobSubmission job) {
		ItemRun run = run(job);
		read(run, 1, 12);
		return run;
	}

}
