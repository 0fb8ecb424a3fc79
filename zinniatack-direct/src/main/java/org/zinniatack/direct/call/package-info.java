/**
 * Dispatches synchronous calls to targets with retries, hedging and refusals.
 */
@NullMarked
package org.zinniatack.direct.call;

import org.jspecify.annotations.NullMarked;
