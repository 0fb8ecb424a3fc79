package org.zinniatack.core.table;

/**
 * The part of a route's requests that a pool serves.
 *
 * @param pool the name of the pool
 * @param weight the weight against the route's other shares, 0 for none
 */
public record PoolShare(String pool, int weight) {
}
