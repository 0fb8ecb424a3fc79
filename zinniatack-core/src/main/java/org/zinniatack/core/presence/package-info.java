/**
 * Tables whose copies elsewhere are kept current by their changes only.
 */
@NullMarked
package org.zinniatack.core.presence;

import org.jspecify.annotations.NullMarked;
