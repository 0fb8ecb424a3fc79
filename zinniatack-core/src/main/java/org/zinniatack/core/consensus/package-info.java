/**
 * Raft consensus as a state machine without input or output. The owner passes the time
 * and messages to a {@link org.zinniatack.core.consensus.Replica} and carries out the
 * {@link org.zinniatack.core.consensus.Effects} that it returns.
 */
@NullMarked
package org.zinniatack.core.consensus;

import org.jspecify.annotations.NullMarked;
