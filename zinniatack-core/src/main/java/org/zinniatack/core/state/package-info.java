/**
 * The replicated state of the control processes: commands, replies and the tables that
 * commands change.
 */
@NullMarked
package org.zinniatack.core.state;

import org.jspecify.annotations.NullMarked;
