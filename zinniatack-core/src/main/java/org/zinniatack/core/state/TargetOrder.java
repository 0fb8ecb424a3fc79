package org.zinniatack.core.state;

import java.util.Map;

/**
 * An order of targets, stated as absolute counts so that sending it again changes
 * nothing.
 *
 * @param pool the pool
 * @param orderNumber the log index of the order
 * @param countsByFailureDomain the number of targets by failure domain
 */
public record TargetOrder(String pool, long orderNumber, Map<String, Integer> countsByFailureDomain) {
}
