/**
 * Usage accounting per customer and route, in time windows that are reported to the
 * platform.
 */
@NullMarked
package org.zinniatack.core.usage;

import org.jspecify.annotations.NullMarked;
