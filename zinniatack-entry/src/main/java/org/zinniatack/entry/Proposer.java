package org.zinniatack.entry;

import java.util.concurrent.CompletableFuture;

import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;

/**
 * Brings commands before control.
 */
interface Proposer {

	/**
	 * Carries out a command that may be sent more than once.
	 * @param command the command
	 * @return control's reply; it fails if control gave none
	 */
	CompletableFuture<Reply> propose(Command command);

}
