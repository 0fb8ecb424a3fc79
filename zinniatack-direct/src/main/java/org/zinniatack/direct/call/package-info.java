/**
 * Calls that wait for an answer: attempts, hedges, refusals.
 */
@NullMarked
package org.zinniatack.direct.call;

import org.jspecify.annotations.NullMarked;
