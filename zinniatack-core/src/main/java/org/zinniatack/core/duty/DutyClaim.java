package org.zinniatack.core.duty;

/**
 * The record of a leader in the replicated state, which precedes its first act.
 *
 * @param holder the name of the process
 * @param sole false to become the holder; true to record as the present holder that all
 * others acted too long ago to matter
 */
public record DutyClaim(String holder, boolean sole) {
}
