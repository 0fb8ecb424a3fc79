package org.zinniatack.core.job;

import java.util.Optional;

/**
 * Identifies a job by its customer and the caller's id.
 *
 * @param customer the customer, or empty if nobody owns the job
 * @param name the caller's id of the job
 */
public record JobId(String customer, String name) {

	/**
	 * Returns the id of a caller's job.
	 * @param owner the customer, or empty if nobody owns the job
	 * @param name the caller's id of the job
	 * @return the id
	 */
	public static JobId of(Optional<String> owner, String name) {
		return new JobId(owner.orElse(""), name);
	}

	/**
	 * Returns the customer that owns the job.
	 * @return the customer, or empty if nobody owns the job
	 */
	public Optional<String> owner() {
		return Optional.of(this.customer).filter((name) -> !name.isEmpty());
	}

	/**
	 * Returns the id of the job of the same name that nobody owns.
	 * @return the id
	 */
	public JobId withoutOwner() {
		return new JobId("", this.name);
	}

}
