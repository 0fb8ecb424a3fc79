package org.zinniatack.core.job;

/**
 * Names a job.
 *
 * @param customer the customer
 * @param name the caller's id of the job
 */
public record JobId(String customer, String name) {
}
