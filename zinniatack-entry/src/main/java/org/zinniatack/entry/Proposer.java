package org.zinniatack.entry;

import java.util.concurrent.CompletableFuture;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;

/**
 * Proposes commands to the control processes.
 */
interface Proposer {

	/**
	 * Proposes an idempotent command; it may be sent more than once.
	 * @param command the command
	 * @return the reply; completes exceptionally if the control processes gave none
	 */
	CompletableFuture<Reply> propose(Command command);

}
