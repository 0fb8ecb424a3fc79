/**
 * Planning of which targets load new model weights, and when.
 */
@NullMarked
package org.zinniatack.core.weight;

import org.jspecify.annotations.NullMarked;
