/**
 * Jobs of many items: what is accepted, what is finished, and in which order items run.
 */
@NullMarked
package org.zinniatack.core.job;

import org.jspecify.annotations.NullMarked;
