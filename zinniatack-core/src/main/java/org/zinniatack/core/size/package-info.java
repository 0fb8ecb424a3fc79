/**
 * Sizes of values in memory.
 */
@NullMarked
package org.zinniatack.core.size;

import org.jspecify.annotations.NullMarked;
