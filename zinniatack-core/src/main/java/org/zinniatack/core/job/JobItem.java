package org.zinniatack.core.job;

import java.util.Arrays;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.size.HeapSize;

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

	private static final long BYTES_PER_TOKEN = 6;

	private static final long UNKNOWN_OUTPUT_BYTES = 4 * 1024;

	private static final long MAX_OUTPUT_BYTES = 1024 * 1024;

	/** A result without its text. */
	private static final long RESULT_BYTES = 256;

	/**
	 * Copies the arguments.
	 */
	public JobItem {
		headers = Map.copyOf(headers);
	}

	/** Returns whether another item asks for the same. */
	boolean hasSameContent(JobItem other) {
		boolean sameScoring = (this.scoring != null) ? this.scoring.hasSameContent(other.scoring)
				: other.scoring == null;
		return sameScoring && this.id.equals(other.id) && this.group.equals(other.group) && this.path.equals(other.path)
				&& this.headers.equals(other.headers) && Arrays.equals(this.body, other.body);
	}

	/** Returns the heap that the item takes, in bytes. */
	long heapBytes() {
		Scoring scored = this.scoring;
		return 2 * HeapSize.OBJECT_BYTES + HeapSize.of(this.id) + HeapSize.of(this.path) + HeapSize.of(this.body)
				+ HeapSize.of(this.headers.values()) + HeapSize.of(this.promptKey)
				+ ((scored != null) ? scored.heapBytes() : 0);
	}

	/**
	 * Returns the estimate of the output, in bytes.
	 */
	long estimatedOutputBytes() {
		long expectedBytes = (this.expectedTokens > 0) ? BYTES_PER_TOKEN * this.expectedTokens : UNKNOWN_OUTPUT_BYTES;
		return RESULT_BYTES + Math.min(MAX_OUTPUT_BYTES, expectedBytes);
	}

}
