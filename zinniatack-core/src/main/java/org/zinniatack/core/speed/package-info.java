/**
 * Estimates of the time that work takes at targets of uneven speed, from measured times
 * and from what the targets state.
 */
@NullMarked
package org.zinniatack.core.speed;

import org.jspecify.annotations.NullMarked;
