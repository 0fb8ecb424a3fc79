package org.zinniatack.core.table;

import java.util.List;

/**
 * A customer with the digests of its keys.
 *
 * @param name the name of the customer
 * @param keyDigests the SHA-256 digests of its keys, in hexadecimal
 * @param priority the priority, 0 for the most urgent, or -1 for the route's priority
 */
public record Customer(String name, List<String> keyDigests, int priority) {

	/**
	 * Copies the digests.
	 */
	public Customer {
		keyDigests = List.copyOf(keyDigests);
	}

}
