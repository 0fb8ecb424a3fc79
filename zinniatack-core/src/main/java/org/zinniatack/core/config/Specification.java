package org.zinniatack.core.config;

import java.util.List;

import org.zinniatack.core.key.Sha256Digest;

/**
 * What a configuration record says, the same under every schema version.
 */
public sealed interface Specification {

	/**
	 * Who sends requests.
	 *
	 * @param weight the customer's share of contended targets relative to others
	 */
	record Customer(double weight) implements Specification {
	}

	/**
	 * A key of a customer.
	 *
	 * @param customer the name of the customer
	 * @param digest the digest of the key
	 */
	record Key(String customer, Sha256Digest digest) implements Specification {
	}

	/**
	 * A way to a pool of targets.
	 *
	 * @param protocol what the targets speak
	 * @param pool the name of the pool
	 * @param open true if no key is needed
	 * @param repeatable true if a request may be run again after an unknown outcome
	 * @param customers the customers that the route serves, empty for all
	 */
	record Route(Protocol protocol, String pool, boolean open, boolean repeatable,
			List<String> customers) implements Specification {
	}

	/**
	 * Limits of a customer.
	 *
	 * @param customer the name of the customer
	 * @param requestsPerS the sustained rate, in requests a second, 0 for no limit
	 * @param concurrency the largest number of running requests, 0 for no limit
	 * @param queueTimeMs the longest time that a request may wait, in milliseconds
	 * @param sampleAgeBoundVersions how many weight versions a sample may lag behind
	 * @param tokensPerHour the spending ceiling, in tokens an hour, 0 for no limit
	 */
	record CustomerPolicy(String customer, double requestsPerS, int concurrency, long queueTimeMs,
			int sampleAgeBoundVersions, long tokensPerHour) implements Specification {

		private static final long DEFAULT_QUEUE_TIME_MS = 30_000;

		private static final int DEFAULT_SAMPLE_AGE_BOUND_VERSIONS = 2;

		/**
		 * Returns the policy of a customer that has none.
		 * @param customer the name of the customer
		 * @return the default policy
		 */
		public static CustomerPolicy defaults(String customer) {
			return new CustomerPolicy(customer, 0, 0, DEFAULT_QUEUE_TIME_MS, DEFAULT_SAMPLE_AGE_BOUND_VERSIONS, 0);
		}

	}

	/**
	 * Limits of a pool.
	 *
	 * @param pool the name of the pool
	 * @param minimumTargets the smallest number of targets to order
	 * @param maximumTargets the largest number of targets to order
	 * @param requestsPerTarget the number of running requests that one target carries
	 * @param weightLoadsPerS the loads of weights that may begin in a second, 0 for no
	 * limit
	 */
	record PoolPolicy(String pool, int minimumTargets, int maximumTargets, int requestsPerTarget,
			double weightLoadsPerS) implements Specification {
	}

	/** What the targets of a route speak. */
	enum Protocol {

		/** Completions of a model engine. */
		ENGINE,

		/** Any HTTP call. */
		SERVICE

	}

}
