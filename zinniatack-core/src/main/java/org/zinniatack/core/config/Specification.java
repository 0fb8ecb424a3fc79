package org.zinniatack.core.config;

import java.util.List;

import org.zinniatack.core.key.Sha256Digest;

/**
 * The parsed content of a configuration record, independent of its schema version.
 */
public sealed interface Specification {

	/**
	 * A customer that sends requests.
	 *
	 * @param weight the customer's share of contended targets relative to other customers
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
	 * A route to a pool of targets.
	 *
	 * @param protocol the protocol of the targets
	 * @param pool the name of the pool
	 * @param open true if requests need no key
	 * @param repeatable true if a request may run again after an unknown outcome
	 * @param customers the customers that may use the route, empty for all
	 */
	record Route(Protocol protocol, String pool, boolean open, boolean repeatable,
			List<String> customers) implements Specification {
	}

	/**
	 * The limits of a customer.
	 *
	 * @param customer the name of the customer
	 * @param requestsPerS the sustained request rate per second, 0 for no limit
	 * @param concurrency the maximum number of running requests, 0 for no limit
	 * @param queueTimeMs the maximum time a request may wait, in milliseconds
	 * @param sampleAgeBoundVersions the number of weight versions a sample may lag behind
	 * the newest
	 * @param tokensPerHour the maximum number of tokens per hour, 0 for no limit
	 */
	record CustomerPolicy(String customer, double requestsPerS, int concurrency, long queueTimeMs,
			int sampleAgeBoundVersions, long tokensPerHour) implements Specification {

		private static final long DEFAULT_QUEUE_TIME_MS = 30_000;

		private static final int DEFAULT_SAMPLE_AGE_BOUND_VERSIONS = 2;

		/**
		 * Returns the default policy, for a customer without a policy record.
		 * @param customer the name of the customer
		 * @return the default policy
		 */
		public static CustomerPolicy defaults(String customer) {
			return new CustomerPolicy(customer, 0, 0, DEFAULT_QUEUE_TIME_MS, DEFAULT_SAMPLE_AGE_BOUND_VERSIONS, 0);
		}

	}

	/**
	 * The limits of a pool.
	 *
	 * @param pool the name of the pool
	 * @param minimumTargets the minimum number of targets to order
	 * @param maximumTargets the maximum number of targets to order
	 * @param requestsPerTarget the number of running requests planned per target
	 * @param weightLoadsPerS the number of weight loads that may start per second, 0 for
	 * no limit
	 */
	record PoolPolicy(String pool, int minimumTargets, int maximumTargets, int requestsPerTarget,
			double weightLoadsPerS) implements Specification {
	}

	/** The protocol of the targets of a route. */
	enum Protocol {

		/** Completion requests to a model engine. */
		ENGINE,

		/** Arbitrary HTTP requests. */
		SERVICE

	}

}
