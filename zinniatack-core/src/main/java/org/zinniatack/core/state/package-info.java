/**
 * The replicated state of control: commands, replies and the tables that they change.
 */
@NullMarked
package org.zinniatack.core.state;

import org.jspecify.annotations.NullMarked;
