/**
 * Where work goes: what is known of each target, and the choice of one.
 */
@NullMarked
package org.zinniatack.direct.target;

import org.jspecify.annotations.NullMarked;
