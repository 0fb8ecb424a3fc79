package org.zinniatack.core.state;

import org.zinniatack.core.job.JobSize;

/**
 * The heap that the replicated state takes and is expected to take, as far as its size
 * depends on what callers and operators submit to the path without agents.
 *
 * @param jobs the jobs
 * @param tableBytes the routing table, in bytes
 */
public record StateSize(JobSize jobs, long tableBytes) {

	/**
	 * Returns what is stored.
	 * @return the size, in bytes
	 */
	public long storedBytes() {
		return this.jobs.storedBytes() + this.tableBytes;
	}

	/**
	 * Returns what will be stored once all items have finished.
	 * @return the size, in bytes
	 */
	public long finalBytes() {
		return this.jobs.finalBytes() + this.tableBytes;
	}

}
