package org.zinniatack.core.table;

/**
 * The share of a route's requests that a pool serves.
 *
 * @param pool the name of the pool
 * @param weight the weight relative to the route's other shares, 0 for no requests
 */
public record PoolShare(String pool, int weight) {
}
