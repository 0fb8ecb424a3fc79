package org.zinniatack.core.sample;

/**
 * A run of tokens that one weight version produced, as the engine stated it.
 *
 * @param weightVersion the version
 * @param tokenCount the number of tokens
 */
public record VersionSpan(long weightVersion, int tokenCount) {
}
