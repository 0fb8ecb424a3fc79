package org.zinniatack.core.job;

import java.util.Arrays;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.size.HeapSize;

/**
 * The request whose response is the score of an item.
 *
 * @param id the request id
 * @param host the host name that selects the route
 * @param path the path
 * @param body the body
 */
public record Scoring(String id, String host, String path, byte[] body) {

	/** Returns whether another request is the same. */
	boolean hasSameContent(@Nullable Scoring other) {
		return other != null && this.id.equals(other.id) && this.host.equals(other.host) && this.path.equals(other.path)
				&& Arrays.equals(this.body, other.body);
	}

	/** Returns the heap that the request takes, in bytes. */
	long heapBytes() {
		return HeapSize.OBJECT_BYTES + HeapSize.of(this.id) + HeapSize.of(this.path) + HeapSize.of(this.body);
	}
}
