/**
 * Batch jobs: their stored state, and the order, placement and migration of their items.
 */
@NullMarked
package org.zinniatack.core.job;

import org.jspecify.annotations.NullMarked;
