/**
 * Versioned tables that processes copy from each other by deltas, used for the presence
 * of targets and front processes.
 */
@NullMarked
package org.zinniatack.core.presence;

import org.jspecify.annotations.NullMarked;
