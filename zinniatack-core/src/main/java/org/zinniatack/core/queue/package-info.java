/**
 * The order in which waiting requests get targets.
 */
@NullMarked
package org.zinniatack.core.queue;

import org.jspecify.annotations.NullMarked;
