/**
 * Limits on the requests to targets that are cold, have just started or have recovered.
 */
@NullMarked
package org.zinniatack.core.pace;

import org.jspecify.annotations.NullMarked;
