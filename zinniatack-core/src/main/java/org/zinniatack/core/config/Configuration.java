package org.zinniatack.core.config;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ServiceException;

/**
 * An immutable view of the records in force, indexed for the path of a request.
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
		return empty().withChanges(revision, records);
	}

	/**
	 * Returns this view after some changes. Only the kinds of the changed records are
	 * copied.
	 * @param changedRevision the log index of the newest change
	 * @param records the records that changed since this view; withdrawn ones go out of
	 * force
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
	 * Finds the customer of a key. A key whose customer is withdrawn finds none.
	 * @param digest the digest of the key
	 * @return the name of the customer, or empty if the key is not in force
	 */
	public Optional<String> customerOf(Sha256Digest digest) {
		return this.keys.find(digest.hex()).map(Specification.Key::customer).filter(this.customers::contains);
	}

	/**
	 * Returns the policy of a customer.
	 * @param customer the name of the customer
	 * @return its policy, or the default one
	 */
	public Specification.CustomerPolicy policyOf(String customer) {
		return this.customerPolicies.find(customer).orElseGet(() -> Specification.CustomerPolicy.defaults(customer));
	}

	/**
	 * Returns the policies of pools.
	 * @return the policies by the name of the pool
	 */
	public Map<String, Specification.PoolPolicy> poolPolicies() {
		return this.poolPolicies.all();
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
		return this.routes.find(name);
	}

	/**
	 * Returns the weight of a customer.
	 * @param customer the name of the customer
	 * @return its weight, 1 if the customer is unknown
	 */
	public double weightOf(String customer) {
		return this.customers.find(customer).map(Specification.Customer::weight).orElse(1.0);
	}

}
