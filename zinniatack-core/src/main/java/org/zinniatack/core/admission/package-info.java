/**
 * Whether a request may wait at all.
 */
@NullMarked
package org.zinniatack.core.admission;

import org.jspecify.annotations.NullMarked;
