/**
 * Benchmarks that compare policies with their baselines in virtual time, measure the cost
 * of scheduling decisions and control commits, and provide the figures for capacity
 * planning.
 */
@NullMarked
package org.zinniatack.bench;

import org.jspecify.annotations.NullMarked;
