package org.zinniatack.core.config;

import java.util.Set;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ServiceException;

/**
 * Schema version 2. Field names carry their unit, and a route can be limited to certain
 * customers.
 */
final class SchemaVersion2 implements Schema {

	@Override
	public Specification read(RecordKind kind, String json) throws ServiceException {
		DocumentReader reader = DocumentReader.parse(json);
		Specification specification = switch (kind) {
			case CUSTOMER -> new Specification.Customer(reader.number("weight", 1, 0.001));
			case KEY -> new Specification.Key(reader.text("customer"), digest(reader, "digestSha256"));
			case ROUTE -> route(reader);
			case POLICY -> reader.has("pool") ? poolPolicy(reader) : customerPolicy(reader);
		};
		reader.requireNoUnknownFields();
		return specification;
	}

	static Sha256Digest digest(DocumentReader reader, String field) throws ServiceException {
		String hex = reader.text(field);
		if (!Sha256Digest.isValid(hex)) {
			throw DocumentReader.invalid(field + " must be 64 lower-case hexadecimal digits");
		}
		return new Sha256Digest(hex);
	}

	static Specification.PoolPolicy poolPolicy(DocumentReader reader) throws ServiceException {
		int minimum = (int) reader.integer("minimumTargets", 0, 0);
		int maximum = (int) reader.integer("maximumTargets", 1000, minimum);
		return new Specification.PoolPolicy(reader.text("pool"), minimum, maximum,
				(int) reader.integer("requestsPerTarget", 8, 1), reader.number("weightLoadsPerS", 0, 0));
	}

	private Specification.Route route(DocumentReader reader) throws ServiceException {
		String protocol = reader.choice("protocol", Set.of("engine", "service"));
		boolean open = reader.choice("access", Set.of("open", "keyed")).equals("open");
		return new Specification.Route(
				protocol.equals("engine") ? Specification.Protocol.ENGINE : Specification.Protocol.SERVICE,
				reader.text("pool"), open, reader.flag("repeatable", true), reader.texts("customers"));
	}

	private Specification.CustomerPolicy customerPolicy(DocumentReader reader) throws ServiceException {
		Specification.CustomerPolicy defaults = Specification.CustomerPolicy.defaults(reader.text("customer"));
		return new Specification.CustomerPolicy(defaults.customer(), reader.number("requestsPerS", 0, 0),
				(int) reader.integer("concurrency", 0, 0), reader.integer("queueTimeMs", defaults.queueTimeMs(), 0),
				(int) reader.integer("sampleAgeBoundVersions", defaults.sampleAgeBoundVersions(), 0),
				reader.integer("tokensPerHour", 0, 0));
	}

}
