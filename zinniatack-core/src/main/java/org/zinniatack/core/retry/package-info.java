/**
 * Whether a failed request may be tried again.
 */
@NullMarked
package org.zinniatack.core.retry;

import org.jspecify.annotations.NullMarked;
