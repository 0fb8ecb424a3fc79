package org.zinniatack.core.job;

/**
 * The call whose answer is the score of an item.
 *
 * @param id the request id
 * @param host the host that selects its route
 * @param path the path
 * @param body the body
 */
public record Scoring(String id, String host, String path, byte[] body) {
}
