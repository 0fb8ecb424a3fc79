package org.zinniatack.core.stream;

/**
 * Where a stream began. Only targets of the same pool and software version can continue
 * it.
 *
 * @param pool the pool of the target that sent the first event
 * @param softwareVersion the software version of that target, empty if it stated none
 */
public record StreamOrigin(String pool, String softwareVersion) {
}
