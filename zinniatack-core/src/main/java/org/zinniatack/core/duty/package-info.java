/**
 * Which process may call a receiver that admits one holder of a duty at a time.
 */
@NullMarked
package org.zinniatack.core.duty;

import org.jspecify.annotations.NullMarked;
