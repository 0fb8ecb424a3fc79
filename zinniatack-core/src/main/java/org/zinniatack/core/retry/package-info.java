/**
 * Retry policies and the budget that limits retries.
 */
@NullMarked
package org.zinniatack.core.retry;

import org.jspecify.annotations.NullMarked;
