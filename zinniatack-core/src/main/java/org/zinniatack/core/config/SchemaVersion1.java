package org.zinniatack.core.config;

import java.util.List;
import java.util.Set;

import org.zinniatack.core.result.ServiceException;

/**
 * Schema version 1. Durations are in seconds, and a route cannot be limited to certain
 * customers.
 */
final class SchemaVersion1 implements Schema {

	private static final long MS_PER_S = 1000;

	@Override
	public Specification read(RecordKind kind, String json) throws ServiceException {
		DocumentReader reader = DocumentReader.parse(json);
		Specification specification = switch (kind) {
			case CUSTOMER -> new Specification.Customer(reader.number("share", 1, 0.001));
			case KEY -> new Specification.Key(reader.text("customer"), SchemaVersion2.digest(reader, "digest"));
			case ROUTE -> route(reader);
			case POLICY -> reader.has("pool") ? SchemaVersion2.poolPolicy(reader) : customerPolicy(reader);
		};
		reader.requireNoUnknownFields();
		return specification;
	}

	private Specification.Route route(DocumentReader reader) throws ServiceException {
		String type = reader.choice("type", Set.of("engine", "service"));
		return new Specification.Route(
				type.equals("engine") ? Specification.Protocol.ENGINE : Specification.Protocol.SERVICE,
				reader.text("pool"), reader.flag("open", false), reader.flag("repeatable", true), List.of());
	}

	private Specification.CustomerPolicy customerPolicy(DocumentReader reader) throws ServiceException {
		Specification.CustomerPolicy defaults = Specification.CustomerPolicy.defaults(reader.text("customer"));
		return new Specification.CustomerPolicy(defaults.customer(), reader.number("requestsPerS", 0, 0),
				(int) reader.integer("concurrency", 0, 0),
				MS_PER_S * reader.integer("queueTimeS", defaults.queueTimeMs() / MS_PER_S, 0),
				(int) reader.integer("sampleAgeVersions", defaults.sampleAgeBoundVersions(), 0),
				reader.integer("tokensPerHour", 0, 0));
	}

}
