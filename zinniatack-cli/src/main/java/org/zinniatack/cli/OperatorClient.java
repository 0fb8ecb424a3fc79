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
 * Sends the requests of the operators' commands to a process. It declares the options for
 * the URL of the process and the operator key.
 */
final class OperatorClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	@CommandLine.Option(names = "--url", required = true, description = "the HTTP URL of a process")
	private URI url;

	@CommandLine.Option(names = "--operator-key", defaultValue = "${env:ZINNIATACK_OPERATOR_KEY}",
			description = "the operator key; default: the environment variable ZINNIATACK_OPERATOR_KEY")
	private String operatorKey;

	JsonNode call(MutableHttpRequest<?> request) throws ServiceException {
		if (this.operatorKey != null) {
			request.bearerAuth(this.operatorKey);
		}
		try (HttpClient client = HttpClient.create(this.url.toURL())) {
			HttpResponse<byte[]> response = client.toBlocking().exchange(request, byte[].class);
			return MAPPER.readTree(response.body());
		}
		catch (HttpClientResponseException ex) {
			throw toServiceException(ex);
		}
		catch (HttpClientException | IOException ex) {
			throw ServiceException.of(ResultCode.PEER_LOST, this.url + ": " + ex.getMessage());
		}
	}

	private static ServiceException toServiceException(HttpClientResponseException responseException)
			throws ServiceException {
		try {
			Optional<byte[]> body = responseException.getResponse().getBody(byte[].class);
			JsonNode error = MAPPER.readTree(body.orElse(new byte[0])).path("error");
			ResultCode code = ResultCode.ofNumber(error.path("code").asInt(-1)).orElse(ResultCode.INTERNAL);
			return ServiceException.retryable(code, error.path("message").asText(),
					error.path("retry_after_ms").asLong());
		}
		catch (IOException ex) {
			return ServiceException.of(ResultCode.INTERNAL,
					"HTTP status " + responseException.getStatus().getCode() + " with a body that is not JSON");
		}
	}

	/** Prints a response as JSON, on a single line for scripts or indented for people. */
	static void print(JsonNode response, boolean singleLine) throws IOException {
		System.out.println(singleLine ? MAPPER.writeValueAsString(response)
				: MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(response));
	}

}
