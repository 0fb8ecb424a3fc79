/**
 * Loading of announced weight versions by targets.
 */
@NullMarked
package org.zinniatack.direct.weight;

import org.jspecify.annotations.NullMarked;
