/**
 * The order in which targets load new weights.
 */
@NullMarked
package org.zinniatack.core.weight;

import org.jspecify.annotations.NullMarked;
