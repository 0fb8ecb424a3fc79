package org.zinniatack.control;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import io.micronaut.http.annotation.QueryValue;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.config.ConfigurationRecord;
import org.zinniatack.core.config.RecordKind;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.process.OperatorKeys;

/**
 * The HTTP interface for operators: configuration records, the status of the system,
 * drains and quarantines.
 */
@Controller("/v1")
@Requires(beans = ControlService.class)
@Consumes("*/*")
final class RecordController {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final ControlService control;

	private final OperatorKeys operatorKeys;

	RecordController(ControlService control, OperatorKeys operatorKeys) {
		this.control = control;
		this.operatorKeys = operatorKeys;
	}

	@Get("/records")
	CompletableFuture<List<RecordView>> list(@Header("Authorization") @Nullable String authorization,
			@QueryValue @Nullable String kind) throws ServiceException {
		this.operatorKeys.require(authorization);
		RecordKind recordKind = (kind != null) ? kindOf(kind) : null;
		return this.control.readCurrent((state) -> state.records()
			.records()
			.stream()
			.filter((record) -> recordKind == null || record.kind() == recordKind)
			.map(RecordView::of)
			.toList());
	}

	@Get("/records/{kind}/{name}")
	CompletableFuture<RecordView> get(@Header("Authorization") @Nullable String authorization, String kind, String name)
			throws ServiceException {
		this.operatorKeys.require(authorization);
		RecordKind recordKind = kindOf(kind);
		return this.control.readCurrent((state) -> state.records().find(recordKind, name))
			.thenCompose((found) -> found.map(RecordView::of)
				.map(CompletableFuture::completedFuture)
				.orElseGet(() -> CompletableFuture.failedFuture(ServiceException.of(ResultCode.RECORD_UNKNOWN,
						"there is no record of kind " + kind + " named " + name))));
	}

	@Put("/records/{kind}/{name}")
	CompletableFuture<Reply> put(@Header("Authorization") @Nullable String authorization,
			@Header("X-Request-Id") @Nullable String requestId, String kind, String name, @Body byte[] body)
			throws ServiceException {
		this.operatorKeys.require(authorization);
		PutBody putBody = PutBody.parse(body);
		return proposeChange(new Command.PutRecord(idOf(requestId), kindOf(kind), nameOf(name), putBody.schemaVersion(),
				putBody.document(), putBody.expectedRevision()));
	}

	@Delete("/records/{kind}/{name}")
	CompletableFuture<Reply> withdraw(@Header("Authorization") @Nullable String authorization,
			@Header("X-Request-Id") @Nullable String requestId, String kind, String name,
			@QueryValue long expectedRevision) throws ServiceException {
		this.operatorKeys.require(authorization);
		return proposeChange(new Command.WithdrawRecord(idOf(requestId), kindOf(kind), name, expectedRevision));
	}

	@Post("/targets/{targetId}/drain")
	CompletableFuture<Reply> drain(@Header("Authorization") @Nullable String authorization, String targetId,
			@QueryValue(defaultValue = "true") boolean leaving) throws ServiceException {
		this.operatorKeys.require(authorization);
		return proposeChange(new Command.DrainTarget(targetId, leaving));
	}

	@Delete("/quarantine/{digest}")
	CompletableFuture<Reply> liftQuarantine(@Header("Authorization") @Nullable String authorization, String digest)
			throws ServiceException {
		this.operatorKeys.require(authorization);
		return proposeChange(new Command.LiftQuarantine(digest));
	}

	@Get("/status")
	CompletableFuture<Map<String, Object>> status(@Header("Authorization") @Nullable String authorization)
			throws ServiceException {
		this.operatorKeys.require(authorization);
		return this.control.status();
	}

	private CompletableFuture<Reply> proposeChange(Command command) {
		return this.control.propose(command).thenCompose((reply) -> {
			try {
				return CompletableFuture.completedFuture(reply.orThrow());
			}
			catch (ServiceException ex) {
				return CompletableFuture.failedFuture(ex);
			}
		});
	}

	private static String idOf(@Nullable String requestId) {
		return (requestId != null) ? requestId : UUID.randomUUID().toString();
	}

	private static RecordKind kindOf(String kind) throws ServiceException {
		return RecordKind.ofName(kind)
			.orElseThrow(
					() -> ServiceException.of(ResultCode.FIELD_INVALID, "kind must be customer, key, route or policy"));
	}

	private static String nameOf(String name) throws ServiceException {
		if (!name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,126}")) {
			throw ServiceException.of(ResultCode.FIELD_INVALID,
					"name must start with a letter or digit and have at most 127 letters, digits, dots, hyphens and underscores");
		}
		return name;
	}

	/**
	 * The body of a request that puts a record.
	 *
	 * @param schemaVersion the schema version of the document
	 * @param document the JSON document
	 * @param expectedRevision the record's revision that the operator has read, 0 if the
	 * record does not exist
	 */
	private record PutBody(int schemaVersion, String document, long expectedRevision) {

		static PutBody parse(byte[] body) throws ServiceException {
			try {
				JsonNode node = MAPPER.readTree(body);
				if (!node.path("schemaVersion").isInt() || !node.path("document").isObject()
						|| !node.path("expectedRevision").isIntegralNumber()) {
					throw ServiceException.of(ResultCode.FIELD_INVALID,
							"the body must have schemaVersion (integer), document (object) and expectedRevision (integer)");
				}
				return new PutBody(node.get("schemaVersion").asInt(), node.get("document").toString(),
						node.get("expectedRevision").asLong());
			}
			catch (JsonProcessingException ex) {
				throw ServiceException.of(ResultCode.MALFORMED_BODY,
						"the body is not valid JSON at line " + ex.getLocation().getLineNr());
			}
			catch (IOException ex) {
				throw ServiceException.of(ResultCode.MALFORMED_BODY, "the body cannot be read");
			}
		}

	}

	/**
	 * A configuration record as it is returned to operators.
	 *
	 * @param kind the kind
	 * @param name the name
	 * @param schemaVersion the schema version of the document
	 * @param revision the revision of the record
	 * @param withdrawn true if the record was withdrawn
	 * @param document the JSON document
	 */
	record RecordView(String kind, String name, int schemaVersion, long revision, boolean withdrawn,
			JsonNode document) {

		static RecordView of(ConfigurationRecord record) {
			try {
				return new RecordView(record.kind().lowerCaseName(), record.name(), record.schemaVersion(),
						record.revision(), record.withdrawn(), MAPPER.readTree(record.document()));
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("a stored document is not JSON", ex);
			}
		}

	}

}
