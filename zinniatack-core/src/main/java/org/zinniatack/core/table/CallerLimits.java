package org.zinniatack.core.table;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes the largest request head, in bytes
 * @param bodyBytes the largest body, in bytes
 * @param headerTimeoutMs the longest time for a request head, in milliseconds
 * @param idleTimeoutMs the longest time between two requests, in milliseconds
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
}
