package org.zinniatack.core.state;

import java.util.Map;

/**
 * The desired number of targets of a pool. It holds absolute counts, so sending it again
 * changes nothing.
 *
 * @param pool the name of the pool
 * @param orderNumber the log index of the order
 * @param countsByFailureDomain the number of targets by failure domain
 */
public record TargetOrder(String pool, long orderNumber, Map<String, Integer> countsByFailureDomain) {
}
