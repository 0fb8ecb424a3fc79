package org.zinniatack.core.config;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ServiceException;

/**
 * An immutable view of the active configuration records, indexed for lookups by requests.
 */
public final class Configuration {

	private final long revision;

	private SpecificationIndex<Specification.Key> keys = SpecificationIndex.by((name, key) -> key.digest().hex());

	private SpecificationIndex<Specification.Customer> customers = SpecificationIndex.by((name, customer) -> name);

	private SpecificationIndex<Specification.Route> routes = SpecificationIndex.by((name, route) -> name);

	private SpecificationIndex<Specification.CustomerPolicy> customerPolicies = SpecificationIndex
		.by((name, policy) -> policy.customer());

	private SpecificationIndex<Specification.PoolPolicy> poolPolicies = SpecificationIndex
		.by((name, policy) -> policy.pool());

	private Configuration(long revision) {
		this.revision = revision;
	}

	/**
	 * Returns a configuration without records.
	 * @return the empty configuration, at revision 0
	 */
	public static Configuration empty() {
		return new Configuration(0);
	}

	/**
	 * Returns a configuration of the given records.
	 * @param revision the log index of the last change
	 * @param records the records; withdrawn ones are ignored
	 * @return the configuration
	 * @throws ServiceException if a record cannot be read under its schema version
	 */
	public static Configuration of(long revision, Collection<ConfigurationRecord> records) throws ServiceException {
		return empty().withChanges(revision, records);
	}

	/**
	 * Returns a copy of this configuration with changes applied. Indexes of record kinds
	 * without a change are shared with this configuration.
	 * @param changedRevision the log index of the last change
	 * @param records the records changed since this configuration; withdrawn ones are
	 * removed
	 * @return the changed configuration
	 * @throws ServiceException if a record cannot be read under its schema version
	 */
	public Configuration withChanges(long changedRevision, Collection<ConfigurationRecord> records)
			throws ServiceException {
		Configuration next = new Configuration(changedRevision);
		Set<RecordKind> kinds = EnumSet.noneOf(RecordKind.class);
		records.forEach((record) -> kinds.add(record.kind()));
		next.keys = kinds.contains(RecordKind.KEY) ? this.keys.copy() : this.keys;
		next.customers = kinds.contains(RecordKind.CUSTOMER) ? this.customers.copy() : this.customers;
		next.routes = kinds.contains(RecordKind.ROUTE) ? this.routes.copy() : this.routes;
		boolean policies = kinds.contains(RecordKind.POLICY);
		next.customerPolicies = policies ? this.customerPolicies.copy() : this.customerPolicies;
		next.poolPolicies = policies ? this.poolPolicies.copy() : this.poolPolicies;
		for (ConfigurationRecord record : records) {
			next.remove(record);
			if (!record.withdrawn()) {
				next.add(record, Schema.of(record.schemaVersion()).read(record.kind(), record.document()));
			}
		}
		return next;
	}

	private void remove(ConfigurationRecord record) {
		switch (record.kind()) {
			case KEY -> this.keys.remove(record.name());
			case CUSTOMER -> this.customers.remove(record.name());
			case ROUTE -> this.routes.remove(record.name());
			case POLICY -> {
				this.customerPolicies.remove(record.name());
				this.poolPolicies.remove(record.name());
			}
		}
	}

	private void add(ConfigurationRecord record, Specification specification) {
		if (specification instanceof Specification.Customer customer) {
			this.customers.put(record.name(), customer);
		}
		else if (specification instanceof Specification.Key key) {
			this.keys.put(record.name(), key);
		}
		else if (specification instanceof Specification.Route route) {
			this.routes.put(record.name(), route);
		}
		else if (specification instanceof Specification.CustomerPolicy policy) {
			this.customerPolicies.put(record.name(), policy);
		}
		else if (specification instanceof Specification.PoolPolicy policy) {
			this.poolPolicies.put(record.name(), policy);
		}
	}

	/**
	 * Finds the customer of a key.
	 * @param digest the digest of the key
	 * @return the name of the customer, or empty if the key or its customer is unknown or
	 * withdrawn
	 */
	public Optional<String> customerOf(Sha256Digest digest) {
		return this.keys.find(digest.hex()).map(Specification.Key::customer).filter(this.customers::contains);
	}

	/**
	 * Returns the policy of a customer.
	 * @param customer the name of the customer
	 * @return its policy, or the default policy if it has none
	 */
	public Specification.CustomerPolicy policyOf(String customer) {
		return this.customerPolicies.find(customer).orElseGet(() -> Specification.CustomerPolicy.defaults(customer));
	}

	/**
	 * Returns the policies of all pools that have one.
	 * @return the policies by pool name
	 */
	public Map<String, Specification.PoolPolicy> poolPolicies() {
		return this.poolPolicies.all();
	}

	/**
	 * Returns the log index of the last change in this configuration.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Finds a route.
	 * @param name the name of the route
	 * @return the route, or empty if it is unknown or withdrawn
	 */
	public Optional<Specification.Route> route(String name) {
		return this.routes.find(name);
	}

	/**
	 * Returns the scheduling weight of a customer.
	 * @param customer the name of the customer
	 * @return its weight, 1 if the customer is unknown
	 */
	public double weightOf(String customer) {
		return this.customers.find(customer).map(Specification.Customer::weight).orElse(1.0);
	}

}
