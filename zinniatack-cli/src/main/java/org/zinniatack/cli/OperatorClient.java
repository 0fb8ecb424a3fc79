package org.zinniatack.cli;

import java.io.IOException;
import java.net.URI;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import picocli.CommandLine;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The options and the connection of operators' commands.
 */
final class OperatorClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	@CommandLine.Option(names = "--url", required = true, description = "the URL of a process")
	private URI url;

	@CommandLine.Option(names = "--operator-key", defaultValue = "${env:ZINNIATACK_OPERATOR_KEY}",
			description = "the operator's key; default: the environment's ZINNIATACK_OPERATOR_KEY")
	private String operatorKey;

	JsonNode call(MutableHttpRequest<?> request) throws ServiceException {
		if (this.operatorKey != null) {
			request.bearerAuth(this.operatorKey);
		}
		try (HttpClient client = HttpClient.create(this.url.toURL())) {
			HttpResponse<byte[]> answer = client.toBlocking().exchange(request, byte[].class);
			return MAPPER.readTree(answer.body());
		}
		catch (HttpClientResponseException ex) {
			throw failure(ex);
		}
		catch (HttpClientException | IOException ex) {
			throw ServiceException.of(ResultCode.PEER_LOST, this.url + ": " + ex.getMessage());
		}
	}

	private static ServiceException failure(HttpClientResponseException refused) throws ServiceException {
		try {
			Optional<byte[]> body = refused.getResponse().getBody(byte[].class);
			JsonNode error = MAPPER.readTree(body.orElse(new byte[0])).path("error");
			ResultCode code = ResultCode.ofNumber(error.path("code").asInt(-1)).orElse(ResultCode.INTERNAL);
			return ServiceException.retryable(code, error.path("message").asText(),
					error.path("retry_after_ms").asLong());
		}
		catch (IOException ex) {
			return ServiceException.of(ResultCode.INTERNAL, "status " + refused.getStatus().getCode());
		}
	}

	/** Prints an answer, in one line for scripts or over several for people. */
	static void print(JsonNode answer, boolean json) throws IOException {
		System.out.println(json ? MAPPER.writeValueAsString(answer)
				: MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(answer));
	}

}
