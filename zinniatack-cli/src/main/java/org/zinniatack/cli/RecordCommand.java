package org.zinniatack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpRequest;
import picocli.CommandLine;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Commands that read and change configuration records.
 */
@CommandLine.Command(name = "record", mixinStandardHelpOptions = true,
		description = "Reads and changes configuration records.", subcommands = { RecordCommand.ListRecords.class,
				RecordCommand.GetRecord.class, RecordCommand.PutRecord.class, RecordCommand.WithdrawRecord.class })
final class RecordCommand {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Base class of the commands that send a request about records. */
	abstract static class RecordsCommand implements Callable<Integer> {

		@CommandLine.Mixin
		private OperatorClient client;

		@CommandLine.Option(names = "--json", description = "print one line of JSON")
		private boolean json;

		abstract MutableHttpRequest<?> request() throws ServiceException, IOException;

		@Override
		public Integer call() throws ServiceException, IOException {
			OperatorClient.print(this.client.call(request()), this.json);
			return 0;
		}

	}

	/** Base class of the commands on one record. */
	abstract static class SingleRecordCommand extends RecordsCommand {

		@CommandLine.Parameters(index = "0", description = "customer, key, route or policy")
		private String kind;

		@CommandLine.Parameters(index = "1", description = "the name of the record")
		private String name;

		String path() {
			return "/v1/records/" + this.kind + "/" + this.name;
		}

	}

	/** Lists records. */
	@CommandLine.Command(name = "list", mixinStandardHelpOptions = true, description = "Lists records.")
	static final class ListRecords extends RecordsCommand {

		@CommandLine.Parameters(index = "0", arity = "0..1", description = "customer, key, route or policy")
		private String kind;

		@Override
		MutableHttpRequest<?> request() {
			return HttpRequest.GET("/v1/records" + ((this.kind != null) ? "?kind=" + this.kind : ""));
		}

	}

	/** Shows a record. */
	@CommandLine.Command(name = "get", mixinStandardHelpOptions = true, description = "Shows a record.")
	static final class GetRecord extends SingleRecordCommand {

		@Override
		MutableHttpRequest<?> request() {
			return HttpRequest.GET(path());
		}

	}

	/** Writes a record. */
	@CommandLine.Command(name = "put", mixinStandardHelpOptions = true, description = "Writes a record.")
	static final class PutRecord extends SingleRecordCommand {

		@CommandLine.Parameters(index = "2",
				description = "the document as JSON, or @ followed by the name of a file that holds it")
		private String document;

		@CommandLine.Option(names = "--schema-version", defaultValue = "2",
				description = "the version of the document's schema; default: 2")
		private int schemaVersion;

		@CommandLine.Option(names = "--expected-revision", defaultValue = "0",
				description = "the revision of the record that you last read; default: 0, for a new record")
		private long expectedRevision;

		@CommandLine.Option(names = "--request-id",
				description = "the id of this change; repeat it when you resend the change; default: a new random id")
		private String requestId;

		@Override
		MutableHttpRequest<?> request() throws ServiceException, IOException {
			String documentText = this.document.startsWith("@") ? Files.readString(Path.of(this.document.substring(1)))
					: this.document;
			try {
				JsonNode documentNode = MAPPER.readTree(documentText);
				return HttpRequest
					.PUT(path(),
							MAPPER.writeValueAsBytes(Map.of("schemaVersion", this.schemaVersion, "expectedRevision",
									this.expectedRevision, "document", documentNode)))
					.header("X-Request-Id", (this.requestId != null) ? this.requestId : UUID.randomUUID().toString());
			}
			catch (JsonProcessingException ex) {
				throw ServiceException.of(ResultCode.MALFORMED_BODY,
						"the document is not JSON: line " + ex.getLocation().getLineNr());
			}
		}

	}

	/** Withdraws a record, so that it is no longer in force. */
	@CommandLine.Command(name = "withdraw", mixinStandardHelpOptions = true,
			description = "Withdraws a record, so that it is no longer in force.")
	static final class WithdrawRecord extends SingleRecordCommand {

		@CommandLine.Option(names = "--expected-revision", required = true,
				description = "the revision of the record that you last read")
		private long expectedRevision;

		@CommandLine.Option(names = "--request-id",
				description = "the id of this change; repeat it when you resend the change; default: a new random id")
		private String requestId;

		@Override
		MutableHttpRequest<?> request() {
			return HttpRequest.DELETE(path() + "?expectedRevision=" + this.expectedRevision)
				.header("X-Request-Id", (this.requestId != null) ? this.requestId : UUID.randomUUID().toString());
		}

	}

}
