package org.zinniatack.core.job;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * The name of a job in a call, with the owners whose job the call may mean. Which job it
 * means is decided where the call is applied to the replicated state.
 *
 * @param id the customer of the call, if any, and the caller's id of the job
 * @param match the owners whose job the call may mean
 */
public record JobCall(JobId id, OwnerMatch match) {

	/**
	 * Returns a call as processes send it.
	 * @param id the customer of the call, if any, and the caller's id of the job
	 * @param match the owners whose job the call may mean, null from a process of an
	 * earlier version, which looks for the job before it sends the call
	 * @return the call
	 */
	public static JobCall of(JobId id, @Nullable OwnerMatch match) {
		return new JobCall(id, Objects.requireNonNullElse(match, OwnerMatch.EXACT));
	}

	/**
	 * Returns whether the call may mean a job.
	 * @param job the id of the job
	 * @return true if it may, whatever other jobs there are
	 */
	boolean mayMean(JobId job) {
		return this.id.name().equals(job.name()) && this.match.allows(this.id.customer(), job.customer());
	}

}
