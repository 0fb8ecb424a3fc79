/**
 * Dispatches synchronous calls to targets with retries, hedging and refusals.
 */
@NullMarked
package org.zinniatack.gateway.call;

import org.jspecify.annotations.NullMarked;
