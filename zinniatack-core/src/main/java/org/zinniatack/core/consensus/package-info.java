/**
 * Replicated log with leader election, as a state machine without input or output. The
 * caller feeds time and messages to a {@link org.zinniatack.core.consensus.Replica} and
 * carries out the {@link org.zinniatack.core.consensus.Effects} that it returns.
 */
@NullMarked
package org.zinniatack.core.consensus;

import org.jspecify.annotations.NullMarked;
