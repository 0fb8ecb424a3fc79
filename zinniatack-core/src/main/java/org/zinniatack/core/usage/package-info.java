/**
 * Usage figures and the windows in which they are reported.
 */
@NullMarked
package org.zinniatack.core.usage;

import org.jspecify.annotations.NullMarked;
