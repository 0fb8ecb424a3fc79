/**
 * Keys of callers and operators, held only as digests.
 */
@NullMarked
package org.zinniatack.core.key;

import org.jspecify.annotations.NullMarked;
