package org.zinniatack.direct.job;

import java.util.Set;

import org.zinniatack.core.job.JobSubmission;

/**
 * A job of which something is still to run.
 *
 * @param submission the job as it was submitted
 * @param finishedIds the items that have results
 */
record OpenJob(JobSubmission submission, Set<String> finishedIds) {
}
