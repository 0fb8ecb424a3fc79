package org.zinniatack.core.job;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A request of a job, with an optional call that scores its output.
 *
 * @param id the request id
 * @param group the group, whose items are useful only if all of them finish, empty for
 * none
 * @param path the path
 * @param headers the headers that are forwarded unchanged
 * @param body the body
 * @param promptKey the key shared by items whose prompts have the same prefix, empty for
 * none
 * @param expectedTokens the caller's estimate of the output length in tokens, 0 for none
 * @param scoring the call that scores the item, or null for none
 */
public record JobItem(String id, String group, String path, Map<String, String> headers, byte[] body, String promptKey,
		long expectedTokens, @Nullable Scoring scoring) {

	/**
	 * Copies the arguments.
	 */
	public JobItem {
		headers = Map.copyOf(headers);
	}

}
