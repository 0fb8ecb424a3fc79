package org.zinniatack.gateway.job;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.zinniatack.core.job.ItemProgress;
import org.zinniatack.core.job.Job;
import org.zinniatack.core.job.JobId;
import org.zinniatack.core.job.JobItem;
import org.zinniatack.core.job.JobLedger;
import org.zinniatack.core.job.JobSubmission;
import org.zinniatack.core.job.PartialText;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of what a new leader reads of all jobs.
 */
class TakeoverTimeTests {

	/** Half of the shortest election timeout. */
	private static final long LIMIT_MS = 225;

	private static final int JOBS = 250;

	private static final int ITEMS = 160;

	private static JobSubmission job(int number, int firstItem) {
		List<JobItem> items = new ArrayList<>();
		for (int item = firstItem; item < firstItem + ITEMS; item++) {
			items.add(new JobItem("item-" + item, "", "/", Map.of(), new byte[0], "", 0, null));
		}
		return new JobSubmission(new JobId("customer", "job-" + number), "host", "model", 0, 1, 2, 3, items);
	}

	// Guards against a new leader that looks for each unfinished item in each job and is
	// replaced before it is done.
	@Test
	void allJobsAreReadInLessThanHalfAnElectionTimeout() {
		JobLedger ledger = new JobLedger();
		for (int number = 0; number < JOBS; number++) {
			ledger.submit(job(number, number * ITEMS));
		}
		read(ledger);
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long startedNs = threads.getCurrentThreadCpuTime();
		read(ledger);
		assertThat((threads.getCurrentThreadCpuTime() - startedNs) / 1_000_000, lessThan(LIMIT_MS));
	}

	private static List<OpenJob> read(JobLedger ledger) {
		List<Job> jobs = ledger.jobs();
		EarlierOutputs earlier = EarlierOutputs.of(jobs, jobs);
		return jobs.stream().map((job) -> OpenJob.of(job, earlier)).toList();
	}

	@Test
	void anItemGoesOnFromTheOldestOutputOfAnotherJobOfItsCustomer() throws Exception {
		JobLedger ledger = new JobLedger();
		for (int number = 0; number < 3; number++) {
			ledger.submit(job(number, 0));
		}
		ledger.storeProgress(new JobId("customer", "job-1"),
				List.of(new ItemProgress("item-7", 0, new PartialText(List.of("a"), List.of(1L), 1))));
		OpenJob last = read(ledger).get(2);
		assertThat(last.stored().size(), is(1));
		assertThat(last.stored().get("item-7").text().events(), is(List.of("a")));
		assertThat(last.stored().get("item-7").ofThisJob(), is(false));
	}

}
