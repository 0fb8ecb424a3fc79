package org.zinniatack.core.job;

/**
 * The request whose response is the score of an item.
 *
 * @param id the request id
 * @param host the host name that selects the route
 * @param path the path
 * @param body the body
 */
public record Scoring(String id, String host, String path, byte[] body) {
}
