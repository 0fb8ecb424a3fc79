package org.zinniatack.core.job;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * One request of a job.
 *
 * @param id the request id
 * @param group the group that is worth something only as a whole, empty for none
 * @param path the path
 * @param headers the headers that are passed on unchanged
 * @param body the body
 * @param promptKey what items with the same prompt beginning share, empty for none
 * @param expectedTokens the caller's estimate of the output, 0 for none
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
