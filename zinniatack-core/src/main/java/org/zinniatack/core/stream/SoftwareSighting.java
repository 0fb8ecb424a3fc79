package org.zinniatack.core.stream;

/**
 * The last time at which a target of a software version may have begun a stream.
 *
 * @param pool the pool of the target
 * @param softwareVersion the software version
 * @param seenAtMs the time, in milliseconds since the epoch
 */
public record SoftwareSighting(String pool, String softwareVersion, long seenAtMs) {
}
