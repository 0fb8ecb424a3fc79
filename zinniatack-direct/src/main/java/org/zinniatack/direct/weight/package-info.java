/**
 * Bringing targets to the weight versions that were announced.
 */
@NullMarked
package org.zinniatack.direct.weight;

import org.jspecify.annotations.NullMarked;
