package org.zinniatack.core.directory;

/**
 * Names the newest announcement that some process received from a target itself. A
 * process that has learned of it learns nothing from hearing of it again.
 *
 * @param id the id of the target
 * @param bornMs the start time of the target, in milliseconds since the epoch
 * @param sequence the number of the announcement
 */
public record HeardTarget(String id, long bornMs, long sequence) {
}
