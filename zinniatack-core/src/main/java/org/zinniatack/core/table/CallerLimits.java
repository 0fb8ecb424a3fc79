package org.zinniatack.core.table;

/**
 * Size and time limits for the connections of callers.
 *
 * @param headerBytes the maximum size of a request head, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMs the maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMs the maximum time between two requests, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
}
