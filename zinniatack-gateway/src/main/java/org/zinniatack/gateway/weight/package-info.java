/**
 * Loading of announced weight versions by targets.
 */
@NullMarked
package org.zinniatack.gateway.weight;

import org.jspecify.annotations.NullMarked;
