/**
 * Callers' and operators' keys, held as digests only.
 */
@NullMarked
package org.zinniatack.core.key;

import org.jspecify.annotations.NullMarked;
