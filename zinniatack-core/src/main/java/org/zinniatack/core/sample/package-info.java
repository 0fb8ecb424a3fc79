/**
 * Samples, the weight versions that produced them and the ledger of training steps.
 */
@NullMarked
package org.zinniatack.core.sample;

import org.jspecify.annotations.NullMarked;
