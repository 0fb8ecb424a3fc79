package org.zinniatack.core.job;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link EarlyEnds} with {@link JobLedger}.
 */
class EarlyEndsTests {

	private static final JobId ID = new JobId("t", "job");

	private JobLedger ledger = new JobLedger();

	private long index;

	private static JobSubmission submission(JobId id) {
		return submission(id, "a");
	}

	private static JobSubmission submission(JobId id, String itemId) {
		JobItem item = new JobItem(itemId, "g", "/p/", Map.of(), new byte[] { 1 }, "", 0, null);
		return new JobSubmission(id, "h.example", "m", 1, 1_000, 7_000, 40_000, List.of(item));
	}

	private JobEffect submit(JobId id, long knownEndsIndex) throws ServiceException {
		return this.ledger.submit(submission(id), OwnerMatch.OWN_OR_NOBODYS, ++this.index, knownEndsIndex);
	}

	private JobEffect end(JobId id) throws ServiceException {
		return this.ledger.end(new JobCall(id, OwnerMatch.OWN_OR_NOBODYS), ++this.index);
	}

	private boolean isOpen(JobId id) {
		return this.ledger.job(id).orElseThrow().isOpen();
	}

	private void restore() {
		this.ledger = JobLedger.of(this.ledger.images(), this.ledger.earlyEnds().image());
	}

	private void assertStale(JobId id, long knownEndsIndex) {
		assertThat(refusalOf(() -> submit(id, knownEndsIndex)), is(ResultCode.SUBMISSION_STALE));
		assertThat(this.ledger.job(id).isPresent(), is(false));
	}

	private static @Nullable ResultCode refusalOf(Call call) {
		try {
			call.send();
			return null;
		}
		catch (ServiceException ex) {
			return ex.code();
		}
	}

	// Guards against a job that runs although its end was acknowledged before it was
	// accepted.
	@Test
	void aJobThatIsAcceptedAfterItsEndRunsNothingAlsoAfterARestore() throws ServiceException {
		assertThat(end(ID), is(JobEffect.END_REMEMBERED));
		restore();
		assertThat(submit(ID, 0), is(JobEffect.ACCEPTED_ENDED));
		assertThat(isOpen(ID), is(false));
		assertThat(this.ledger.job(ID).orElseThrow().submission().items().size(), is(1));
		assertThat(submit(ID, 0), is(JobEffect.REPEATED));
		assertThat(this.ledger.size().awaitedBytes(), is(0L));
	}

	// Guards against the same for a command of a front of an earlier version.
	@Test
	void aSubmissionOfAnEarlierVersionRunsNothingAfterItsEnd() throws ServiceException {
		end(ID);
		assertThat(this.ledger.submit(submission(ID)), is(JobEffect.ACCEPTED_ENDED));
		assertThat(isOpen(ID), is(false));
	}

	// Guards against a customer that ends the jobs of another one.
	@Test
	void anEndAppliesToTheCallersOwnJobAndToOneThatNobodyOwns() throws ServiceException {
		end(ID);
		JobId others = new JobId("u", "job");
		JobId nobodys = new JobId("", "job");
		submit(others, 0);
		submit(nobodys, 0);
		submit(new JobId("t", "other"), 0);
		assertThat(isOpen(others), is(true));
		assertThat(isOpen(nobodys), is(false));
		assertThat(isOpen(new JobId("t", "other")), is(true));
		end(new JobId("", "second"));
		submit(new JobId("t", "second"), 0);
		assertThat("a call without a key ends no customer's job", isOpen(new JobId("t", "second")), is(true));
	}

	// Guards against a job that runs although it was ended while no customer was
	// configured.
	@Test
	void anEndWithoutConfiguredCustomersAppliesToAnybodysJobOnItsWay() throws ServiceException {
		this.ledger.end(new JobCall(new JobId("", "job"), OwnerMatch.ANYBODYS), ++this.index);
		submit(ID, 0);
		assertThat(isOpen(ID), is(false));
	}

	// Guards against an end that finds nobody's job and misses the caller's own, which is
	// on its way.
	@Test
	void anEndOfNobodysJobAlsoAppliesToTheCallersOwnOnItsWay() throws ServiceException {
		this.ledger.submit(submission(new JobId("", "job"), "other"));
		assertThat(end(ID), is(JobEffect.ENDED));
		assertThat(submit(ID, 0), is(JobEffect.ACCEPTED_ENDED));
		assertThat(isOpen(ID), is(false));
	}

	// Guards against a submission that is held back until its end is forgotten, and runs.
	@Test
	void aSubmissionFromBeforeAForgottenEndIsRefusedAndOneFromAfterIsAccepted() throws ServiceException {
		end(ID);
		long endIndex = this.index;
		this.ledger.removeJobs(List.of(), endIndex);
		restore();
		assertThat("an announced end is remembered", this.ledger.earlyEnds().count(), is(1));
		this.ledger.removeJobs(List.of(), endIndex);
		restore();
		assertThat(this.ledger.earlyEnds().count(), is(0));
		assertStale(ID, endIndex - 1);
		assertThat(submit(ID, endIndex), is(JobEffect.ACCEPTED));
		assertThat(isOpen(ID), is(true));
	}

	// Guards against a second copy of a submission that runs once the job is removed.
	@Test
	void aCopyOfTheSubmissionOfARemovedJobRunsNothing() throws ServiceException {
		submit(ID, 0);
		end(ID);
		long endIndex = this.index;
		this.ledger.removeJobs(List.of(ID), 0);
		assertThat(this.ledger.job(ID).isPresent(), is(false));
		assertThat(submit(ID, 0), is(JobEffect.ACCEPTED_ENDED));
		this.ledger.removeJobs(List.of(ID), endIndex);
		this.ledger.removeJobs(List.of(), this.index);
		assertThat(submit(ID, endIndex), is(JobEffect.ACCEPTED_ENDED));
		this.ledger.removeJobs(List.of(ID), this.index);
		this.ledger.removeJobs(List.of(), this.index);
		assertStale(ID, endIndex);
		assertThat(submit(ID, this.index), is(JobEffect.ACCEPTED));
	}

	// Guards against a customer that ends unknown jobs until the state is full, or keeps
	// others from ending theirs.
	@Test
	void theEndsOfOneCustomerTakeABoundedShare() throws ServiceException {
		AtomicInteger count = new AtomicInteger();
		ResultCode refusal = null;
		while (refusal == null) {
			refusal = refusalOf(() -> end(new JobId("t", "job-" + count.getAndIncrement())));
		}
		assertThat(refusal, is(ResultCode.STATE_FULL));
		assertThat(count.get(), is(greaterThan(500)));
		assertThat(end(new JobId("u", "job")), is(JobEffect.END_REMEMBERED));
		assertThat("an end that is remembered already is repeated", end(new JobId("t", "job-0")),
				is(JobEffect.END_REMEMBERED));
		JobId known = new JobId("t", "known");
		submit(known, 0);
		assertThat(end(known), is(JobEffect.ENDED));
		restore();
		assertThat(refusalOf(() -> end(new JobId("t", "one-more"))), is(ResultCode.STATE_FULL));
		this.ledger.removeJobs(List.of(), this.index);
		this.ledger.removeJobs(List.of(), this.index);
		assertThat(end(new JobId("t", "one-more")), is(JobEffect.END_REMEMBERED));
	}

	@Test
	void anIndexIsOldEnoughOnceItsAgeHasPassed() {
		AppliedIndexes indexes = new AppliedIndexes(60_000);
		indexes.record(3, 1_000);
		indexes.record(9, 31_000);
		assertThat(indexes.oldEnough(60_999), is(0L));
		assertThat(indexes.oldEnough(61_000), is(3L));
		assertThat(indexes.oldEnough(90_999), is(3L));
		assertThat(indexes.oldEnough(500_000), is(9L));
	}

	/** A call of a caller that may be refused. */
	private interface Call {

		void send() throws ServiceException;

	}

}
