package org.zinniatack.core.job;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link JobLedger}.
 */
class JobLedgerTests {

	private static final JobId ID = new JobId("customer", "job");

	private final JobLedger ledger = new JobLedger();

	private static JobSubmission submission(String... itemIds) {
		List<JobItem> items = Arrays.stream(itemIds)
			.map((id) -> new JobItem(id, "g", "/p/", Map.of(), new byte[] { 1 }, "", 0, null))
			.toList();
		return new JobSubmission(ID, "h.example", "m", 1, 1_000, 7_000, 40_000, items);
	}

	private static ItemResult result(String id, String text) {
		return new ItemResult(id, true, text, List.of(1L), "score");
	}

	private List<String> resultIdsFrom(int position) {
		return this.ledger.job(ID)
			.orElseThrow()
			.resultsFrom(position, Long.MAX_VALUE)
			.stream()
			.map(ItemResult::itemId)
			.toList();
	}

	@Test
	void aJobIsAcceptedOnceHoweverOftenItIsSubmitted() {
		this.ledger.submit(submission("a", "b"));
		this.ledger.addResults(ID, List.of(result("a", "x")));
		this.ledger.submit(submission("a", "b"));
		assertThat(resultIdsFrom(0), contains("a"));
	}

	// Guards against a size that drifts from what is stored, until all jobs are refused.
	@Test
	void theSizeIsThatOfTheRestoredStateAndNothingOnceAllJobsAreRemoved() throws ServiceException {
		this.ledger.submit(submission("a", "b", "c"));
		this.ledger.storeProgress(ID,
				List.of(new ItemProgress("a", 0, new PartialText(List.of("1", "2"), List.of(1L), 2)),
						new ItemProgress("b", 0, new PartialText(List.of("1"), List.of(1L), 1))));
		this.ledger.addResults(ID, List.of(result("a", "3")), Map.of("a", 2));
		this.ledger.addResults(ID, List.of(result("a", "repeated"), result("c", "x")));
		assertThat(JobLedger.of(this.ledger.images(), this.ledger.earlyEnds().image()).size(), is(this.ledger.size()));
		this.ledger.end(new JobCall(ID, OwnerMatch.EXACT), 1);
		assertThat(this.ledger.size().awaitedBytes(), is(0L));
		assertThat(JobLedger.of(this.ledger.images(), this.ledger.earlyEnds().image()).size(), is(this.ledger.size()));
		this.ledger.removeJobs(List.of(ID, ID));
		assertThat(this.ledger.size(), is(JobSize.ZERO));
	}

	@Test
	void aResultKeepsItsPositionAndIsNeverReplaced() {
		this.ledger.submit(submission("a", "b", "c"));
		this.ledger.addResults(ID, List.of(result("b", "first"), result("a", "x")));
		this.ledger.addResults(ID, List.of(result("b", "second"), result("c", "y"), result("stranger", "z")));
		assertThat(resultIdsFrom(0), contains("b", "a", "c"));
		assertThat(this.ledger.job(ID).orElseThrow().resultsFrom(0, 1).get(0).text(), is("first"));
		assertThat(this.ledger.job(ID).orElseThrow().isOpen(), is(false));
	}

	// Guards against reads of single items that search the whole job, which a takeover
	// repeats for each item.
	@Test
	void itemsAndResultsOfALargeJobAreFoundInLessThanHalfAnElectionTimeout() {
		String[] ids = IntStream.range(0, 40_000).mapToObj((item) -> "item-" + item).toArray(String[]::new);
		this.ledger.submit(submission(ids));
		this.ledger.addResults(ID, Arrays.stream(ids).map((id) -> result(id, "x")).toList());
		Job job = this.ledger.job(ID).orElseThrow();
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		int found = 0;
		long startedNs = threads.getCurrentThreadCpuTime();
		for (String id : ids) {
			boolean both = job.item(id).orElseThrow().id().equals(id)
					&& job.result(id).orElseThrow().itemId().equals(id);
			found += both ? 1 : 0;
		}
		long durationMs = (threads.getCurrentThreadCpuTime() - startedNs) / 1_000_000;
		assertThat(found, is(ids.length));
		assertThat(durationMs, lessThan(225L));
	}

	@Test
	void aPageHoldsAtLeastOneResultAndNoMoreThanItsLimit() {
		this.ledger.submit(submission("a", "b", "c"));
		this.ledger.addResults(ID, List.of(result("a", "1234"), result("b", "1234"), result("c", "1234")));
		Job job = this.ledger.job(ID).orElseThrow();
		assertThat(job.resultsFrom(0, 1), hasSize(1));
		assertThat(job.resultsFrom(0, 8), hasSize(2));
		assertThat(job.resultsFrom(2, 8), hasSize(1));
		assertThat(job.resultsFrom(9, 8), hasSize(0));
	}

	@Test
	void anEndedJobKeepsWhatIsListedAndRunsNothing() throws ServiceException {
		this.ledger.submit(submission("a", "b"));
		this.ledger.addResults(ID, List.of(result("a", "x")));
		this.ledger.end(new JobCall(ID, OwnerMatch.EXACT), 1);
		assertThat(this.ledger.job(ID).orElseThrow().isOpen(), is(false));
		assertThat(resultIdsFrom(0), contains("a"));
	}

	@Test
	void aLedgerFromItsStoredFormIsTheSame() {
		this.ledger.submit(submission("a", "b"));
		this.ledger.addResults(ID, List.of(result("b", "x")));
		JobLedger restored = JobLedger.of(this.ledger.images(), this.ledger.earlyEnds().image());
		assertThat(restored.images(), is(this.ledger.images()));
		assertThat(restored.job(ID).orElseThrow().isFinished("b"), is(true));
		assertThat(restored.job(ID).orElseThrow().isOpen(), is(true));
	}

	private static ItemProgress progress(String id, int eventsBefore, String... events) {
		return new ItemProgress(id, eventsBefore,
				new PartialText(List.of(events), List.of(2L), eventsBefore + events.length));
	}

	private static ResultCode refusal(Change change) {
		try {
			change.apply();
			return ResultCode.OK;
		}
		catch (ServiceException ex) {
			return ex.code();
		}
	}

	@Test
	void aResultGoesOnAfterTheStoredEventsOfItsItem() throws ServiceException {
		this.ledger.submit(submission("a", "b"));
		this.ledger.storeProgress(ID, List.of(progress("a", 0, "1", "2")));
		this.ledger.storeProgress(ID, List.of(progress("a", 2, "3")));
		this.ledger.addResults(ID, List.of(result("a", "3\n4")), Map.of("a", 2));
		assertThat(this.ledger.job(ID).orElseThrow().resultsFrom(0, 100).get(0).text(), is("1\n2\n3\n4"));
		assertThat(this.ledger.job(ID).orElseThrow().partialText("a").isPresent(), is(false));
	}

	@Test
	void anItemThatBeginsAgainForgetsItsStoredEvents() throws ServiceException {
		this.ledger.submit(submission("a"));
		this.ledger.storeProgress(ID, List.of(progress("a", 0, "1", "2")));
		this.ledger.storeProgress(ID, List.of(progress("a", 0, "x")));
		assertThat(this.ledger.job(ID).orElseThrow().partialText("a").orElseThrow().events(), contains("x"));
	}

	@Test
	void progressWithAGapIsRefusedAndThatOfAFinishedItemIsIgnored() throws ServiceException {
		this.ledger.submit(submission("a", "b"));
		this.ledger.storeProgress(ID, List.of(progress("a", 0, "1")));
		assertThat(refusal(() -> this.ledger.storeProgress(ID, List.of(progress("b", 0, "1"), progress("a", 3, "4")))),
				is(ResultCode.REVISION_CONFLICT));
		assertThat(this.ledger.job(ID).orElseThrow().partialText("b").isPresent(), is(false));
		this.ledger.addResults(ID, List.of(result("b", "x")));
		this.ledger.storeProgress(ID, List.of(progress("b", 0, "1")));
		Job job = this.ledger.job(ID).orElseThrow();
		assertThat(job.partialText("a").orElseThrow().events(), contains("1"));
		assertThat(job.partialText("b").isPresent(), is(false));
	}

	@Test
	void resultsOfWhichStoredEventsAreMissingAreRefusedTogether() throws ServiceException {
		this.ledger.submit(submission("a", "b"));
		this.ledger.storeProgress(ID, List.of(progress("a", 0, "1")));
		assertThat(
				refusal(() -> this.ledger.addResults(ID, List.of(result("b", "x"), result("a", "3")), Map.of("a", 2))),
				is(ResultCode.REVISION_CONFLICT));
		assertThat(this.ledger.job(ID).orElseThrow().resultCount(), is(0));
	}

	@Test
	void aResultThatComesAgainIsIgnoredWhateverIsStored() throws ServiceException {
		this.ledger.submit(submission("a"));
		this.ledger.storeProgress(ID, List.of(progress("a", 0, "1", "2")));
		this.ledger.addResults(ID, List.of(result("a", "3")), Map.of("a", 2));
		this.ledger.addResults(ID, List.of(result("a", "3")), Map.of("a", 2));
		assertThat(this.ledger.job(ID).orElseThrow().resultsFrom(0, 100).get(0).text(), is("1\n2\n3"));
	}

	@Test
	void progressSurvivesTheStoredForm() throws ServiceException {
		this.ledger.submit(submission("a", "b"));
		this.ledger.storeProgress(ID, List.of(progress("a", 0, "1", "2")));
		JobLedger restored = JobLedger.of(this.ledger.images(), this.ledger.earlyEnds().image());
		assertThat(restored.job(ID).orElseThrow().partialText("a").orElseThrow().events(), contains("1", "2"));
		assertThat(restored.images(), is(this.ledger.images()));
	}

	@Test
	void aTextFitsAJobThatAcceptsAllItsVersions() {
		PartialText text = new PartialText(List.of("1"), List.of(3L, 4L), 1);
		assertThat(text.meetsOldestVersion(3), is(true));
		assertThat(text.meetsOldestVersion(4), is(false));
		assertThat(new PartialText(List.of(), List.of(), 0).meetsOldestVersion(0), is(false));
	}

	private static JobSubmission submissionOf(String customer, String body) {
		JobItem item = new JobItem("a", "g", "/p/", Map.of("h", "v"), body.getBytes(StandardCharsets.US_ASCII), "", 0,
				new Scoring("s", "h.example", "/s/", new byte[] { 2 }));
		return new JobSubmission(new JobId(customer, "job"), "h.example", "m", 1, System.nanoTime(), 7_000, 40_000,
				List.of(item));
	}

	// Guards against a second job that hides the first one from its caller, who had no
	// key, or has none any more.
	@Test
	void aSubmissionRepeatsAnotherOwnersJobOnlyIfItMayMeanItAndAsksForTheSame() {
		this.ledger.submit(submissionOf("", "x"));
		assertThat(this.ledger.isKnown(submissionOf("t", "x"), OwnerMatch.OWN_OR_NOBODYS), is(true));
		assertThat(this.ledger.isKnown(submissionOf("t", "y"), OwnerMatch.OWN_OR_NOBODYS), is(false));
		assertThat(this.ledger.isKnown(submissionOf("t", "x"), OwnerMatch.EXACT), is(false));
		assertThat(this.ledger.isKnown(submissionOf("", "y"), OwnerMatch.EXACT), is(true));
		this.ledger.submit(submissionOf("t", "y"));
		assertThat(this.ledger.isKnown(submissionOf("u", "y"), OwnerMatch.OWN_OR_NOBODYS), is(false));
		this.ledger.removeJobs(List.of(new JobId("", "job")));
		assertThat(this.ledger.isKnown(submissionOf("", "y"), OwnerMatch.OWN_OR_NOBODYS), is(false));
		assertThat(this.ledger.isKnown(submissionOf("", "y"), OwnerMatch.ANYBODYS), is(true));
		assertThat(this.ledger.isKnown(submissionOf("", "x"), OwnerMatch.ANYBODYS), is(false));
	}

	/** A change of the ledger that may be refused. */
	private interface Change {

		void apply() throws ServiceException;

	}

}
