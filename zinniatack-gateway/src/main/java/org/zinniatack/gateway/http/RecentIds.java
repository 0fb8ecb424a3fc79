package org.zinniatack.gateway.http;

import java.util.stream.IntStream;

/**
 * The ids of the latest requests of a connection. Ids are kept as hash codes, so an id
 * may appear to be contained that is not.
 */
final class RecentIds {

	private static final int CAPACITY = 64;

	private final int[] hashCodes = new int[CAPACITY];

	private int addedCount;

	void add(String id) {
		this.hashCodes[this.addedCount % CAPACITY] = id.hashCode();
		this.addedCount++;
	}

	boolean mayContain(String id) {
		return IntStream.of(this.hashCodes)
			.limit(Math.min(this.addedCount, CAPACITY))
			.anyMatch((hashCode) -> hashCode == id.hashCode());
	}

}
