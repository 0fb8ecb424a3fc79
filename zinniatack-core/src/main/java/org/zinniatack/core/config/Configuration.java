package org.zinniatack.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.zinniatack.core.key.KeyDigest;
import org.zinniatack.core.result.ServiceException;

/**
 * An immutable view of the records in force, indexed for the path of a request.
 */
public final class Configuration {

	private final long revision;

	private final Map<String, Specification.Key> keys = new HashMap<>();

	private final Map<String, Specification.Customer> customers = new HashMap<>();

	private final Map<String, Specification.Route> routes = new HashMap<>();

	private final Map<String, Specification.CustomerPolicy> customerPolicies = new HashMap<>();

	private final Map<String, Specification.PoolPolicy> poolPolicies = new HashMap<>();

	private Configuration(long revision) {
		this.revision = revision;
	}

	/**
	 * Returns a configuration without records.
	 * @return the empty configuration, of revision 0
	 */
	public static Configuration empty() {
		return new Configuration(0);
	}

	/**
	 * Returns the view of some records.
	 * @param revision the log index of the newest change
	 * @param records the records; withdrawn ones are passed over
	 * @return the configuration
	 * @throws ServiceException if a record cannot be read under its schema version
	 */
	public static Configuration of(long revision, Collection<ConfigurationRecord> records) throws ServiceException {
		Configuration configuration = new Configuration(revision);
		for (ConfigurationRecord record : records) {
			if (!record.withdrawn()) {
				configuration.add(record, Schema.of(record.schemaVersion()).read(record.kind(), record.document()));
			}
		}
		return configuration;
	}

	private void add(ConfigurationRecord record, Specification specification) {
		if (specification instanceof Specification.Customer customer) {
			this.customers.put(record.name(), customer);
		}
		else if (specification instanceof Specification.Key key) {
			this.keys.put(key.digest().hex(), key);
		}
		else if (specification instanceof Specification.Route route) {
			this.routes.put(record.name(), route);
		}
		else if (specification instanceof Specification.CustomerPolicy policy) {
			this.customerPolicies.put(policy.customer(), policy);
		}
		else if (specification instanceof Specification.PoolPolicy policy) {
			this.poolPolicies.put(policy.pool(), policy);
		}
	}

	/**
	 * Finds the customer of a key. A key whose customer is withdrawn finds none.
	 * @param digest the digest of the key
	 * @return the name of the customer, or empty if the key is not in force
	 */
	public Optional<String> customerOf(KeyDigest digest) {
		return Optional.ofNullable(this.keys.get(digest.hex()))
			.map(Specification.Key::customer)
			.filter(this.customers::containsKey);
	}

	/**
	 * Returns the policy of a customer.
	 * @param customer the name of the customer
	 * @return its policy, or the default one
	 */
	public Specification.CustomerPolicy policyOf(String customer) {
		return this.customerPolicies.getOrDefault(customer, Specification.CustomerPolicy.defaults(customer));
	}

	/**
	 * Returns the policies of pools.
	 * @return the policies by the name of the pool
	 */
	public Map<String, Specification.PoolPolicy> poolPolicies() {
		return Map.copyOf(this.poolPolicies);
	}

	/**
	 * Returns the log index of the newest change that the view holds.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Finds a route.
	 * @param name the name of the route
	 * @return the route, or empty if none is in force
	 */
	public Optional<Specification.Route> route(String name) {
		return Optional.ofNullable(this.routes.get(name));
	}

	/**
	 * Returns the weight of a customer.
	 * @param customer the name of the customer
	 * @return its weight, 1 if the customer is unknown
	 */
	public double weightOf(String customer) {
		Specification.Customer found = this.customers.get(customer);
		return (found != null) ? found.weight() : 1;
	}

}
