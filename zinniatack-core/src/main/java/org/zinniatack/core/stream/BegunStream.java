package org.zinniatack.core.stream;

import org.zinniatack.core.routing.Hashing;

/**
 * A stream that has begun, as processes tell each other of it.
 *
 * @param key identifies the customer and the attempt of the caller
 * @param origin where it began
 */
public record BegunStream(long key, StreamOrigin origin) {

	/**
	 * Returns the key of an attempt. Customers that use the same id have different keys.
	 * @param customer the customer, empty if the route needs no API key
	 * @param requestId the id of the attempt
	 * @return the key
	 */
	public static long keyOf(String customer, String requestId) {
		return Hashing.combine(Hashing.of(customer), Hashing.of(requestId));
	}

}
