/**
 * Scaling of pools and placement of their targets on failure domains.
 */
@NullMarked
package org.zinniatack.core.target;

import org.jspecify.annotations.NullMarked;
