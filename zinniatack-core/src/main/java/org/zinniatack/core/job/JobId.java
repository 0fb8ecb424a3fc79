package org.zinniatack.core.job;

/**
 * Identifies a job by its customer and the caller's id.
 *
 * @param customer the customer
 * @param name the caller's id of the job
 */
public record JobId(String customer, String name) {
}
