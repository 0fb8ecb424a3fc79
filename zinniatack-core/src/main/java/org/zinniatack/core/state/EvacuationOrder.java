package org.zinniatack.core.state;

/**
 * The last order of an operator that changed whether a failure domain is evacuated.
 *
 * @param failureDomain the failure domain
 * @param evacuated true if nothing is sent to the targets of the domain, false if they
 * are used again
 * @param index the log index of the order
 */
public record EvacuationOrder(String failureDomain, boolean evacuated, long index) {
}
