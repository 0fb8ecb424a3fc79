package org.zinniatack.cli;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.BlockingHttpClient;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import picocli.CommandLine;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Creates records in a running system as an operator, then sends one request of each kind
 * and prints the results. The quickstart script runs it.
 */
@CommandLine.Command(name = "tour", hidden = true, mixinStandardHelpOptions = true,
		description = "Creates records in a running system, then sends one request of each kind.")
final class TourCommand implements Callable<Integer> {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long WAIT_TIMEOUT_MS = 30_000;

	private static final long POLL_MS = 50;

	private static final String CALLER_KEY = "zk-tour-" + UUID.randomUUID();

	@CommandLine.Option(names = "--control", required = true, description = "the HTTP URL of a control process")
	private URI controlUrl;

	@CommandLine.Option(names = "--entry", required = true,
			description = "the HTTP URL of an entry; give the option twice")
	private List<URI> entryUrls;

	@CommandLine.Option(names = "--targets", required = true,
			description = "the number of targets to wait for before the first request")
	private int targetCount;

	@CommandLine.Option(names = "--operator-key", defaultValue = "${env:ZINNIATACK_OPERATOR_KEY}")
	private String operatorKey;

	@Override
	public Integer call() throws Exception {
		await("the entries are ready", () -> this.entryUrls.stream().allMatch(this::isReady));
		putRecords();
		await("the records are in force and all targets are known", this::areRecordsInForce);
		System.out.println("set up:    1 customer, 1 key, 3 routes, 2 policies, under schema versions 1 and 2");
		System.out.println("whole:     " + completionText(completion(false)));
		System.out.println("streamed:  " + streamedCompletion());
		System.out.println("service:   " + serviceResponse("/services/rota/rota", CALLER_KEY).trim());
		System.out.println("open:      " + serviceResponse("/services/rota-open/rota", null).trim());
		System.out.println("once:      " + repeatedSwap());
		System.out.println("batch:     " + stepBatch());
		return 0;
	}

	private static BlockingHttpClient client(URI url) throws IOException {
		return HttpClient.create(url.toURL()).toBlocking();
	}

	private static void await(String goal, Callable<Boolean> condition) throws Exception {
		long deadlineMs = System.currentTimeMillis() + WAIT_TIMEOUT_MS;
		while (!condition.call()) {
			if (System.currentTimeMillis() > deadlineMs) {
				throw ServiceException.of(ResultCode.CALL_TIMED_OUT,
						"timed out after " + WAIT_TIMEOUT_MS + " ms waiting until " + goal);
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MS);
		}
	}

	private boolean isReady(URI url) {
		try (BlockingHttpClient client = client(url)) {
			return client.exchange(HttpRequest.GET("/health/ready"), String.class).code() == 200;
		}
		catch (HttpClientException | IOException ex) {
			return false;
		}
	}

	private boolean areRecordsInForce() throws Exception {
		JsonNode status = exchange(this.controlUrl, HttpRequest.GET("/v1/status").bearerAuth(this.operatorKey));
		return status.path("targets").size() >= this.targetCount
				&& status.path("entriesInForce").asInt() >= this.entryUrls.size()
				&& status.path("agentsInForce").asInt() >= this.targetCount;
	}

	private void putRecords() throws Exception {
		putRecord("customer", "trentvale", 2, Map.of("weight", 2));
		putRecord("key", "trentvale-desk", 2,
				Map.of("customer", "trentvale", "digestSha256", Sha256Digest.of(CALLER_KEY).hex()));
		putRecord("route", "draft", 1, Map.of("type", "engine", "pool", "draft"));
		putRecord("route", "rota", 2,
				Map.of("protocol", "service", "pool", "rota", "access", "keyed", "repeatable", false));
		putRecord("route", "rota-open", 2, Map.of("protocol", "service", "pool", "rota", "access", "open"));
		putRecord("policy", "trentvale", 1, Map.of("customer", "trentvale", "queueTimeS", 10, "sampleAgeVersions", 2));
		putRecord("policy", "draft-pool", 2, Map.of("pool", "draft", "minimumTargets", 2, "maximumTargets", 6));
	}

	private void putRecord(String kind, String name, int schemaVersion, Map<String, Object> document) throws Exception {
		byte[] body = MAPPER
			.writeValueAsBytes(Map.of("schemaVersion", schemaVersion, "expectedRevision", 0, "document", document));
		exchange(this.controlUrl,
				HttpRequest.PUT("/v1/records/" + kind + "/" + name, body).bearerAuth(this.operatorKey));
	}

	private static JsonNode exchange(URI url, MutableHttpRequest<?> request) throws IOException, ServiceException {
		try (BlockingHttpClient client = client(url)) {
			return MAPPER.readTree(client.retrieve(request, byte[].class));
		}
		catch (HttpClientResponseException ex) {
			String body = ex.getResponse().getBody(String.class).orElse("");
			throw ServiceException.of(ResultCode.TARGET_FAILED,
					request.getPath() + ": HTTP status " + ex.code() + " " + body);
		}
	}

	private static MutableHttpRequest<?> post(String path, Map<String, Object> body) throws IOException {
		return HttpRequest.POST(path, MAPPER.writeValueAsBytes(body)).bearerAuth(CALLER_KEY);
	}

	private MutableHttpRequest<?> completion(boolean stream) throws IOException {
		return post("/v1/completions",
				Map.of("model", "draft", "prompt", "Who covers desk 1?", "max_tokens", 6, "stream", stream));
	}

	private String completionText(MutableHttpRequest<?> request) throws Exception {
		JsonNode answer = exchange(this.entryUrls.get(0), request);
		return answer.path("choices").path(0).path("text").asText() + "  (weights "
				+ answer.path("weight_versions").path(0).path("weightVersion").asText() + ")";
	}

	private String streamedCompletion() throws Exception {
		try (BlockingHttpClient client = client(this.entryUrls.get(1))) {
			String events = client.retrieve(completion(true), String.class);
			if (!events.trim().endsWith("data: [DONE]")) {
				throw ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "the stream does not end with data: [DONE]");
			}
			return events.split("\n\n").length - 1 + " events, then the end mark";
		}
	}

	private String serviceResponse(String path, String key) throws Exception {
		try (BlockingHttpClient client = client(this.entryUrls.get(0))) {
			MutableHttpRequest<?> request = HttpRequest.GET(path);
			if (key != null) {
				request.bearerAuth(key);
			}
			return client.retrieve(request, String.class);
		}
	}

	/**
	 * Sends the same non-repeatable request through both entries and compares the
	 * answers.
	 */
	private String repeatedSwap() throws Exception {
		String first = swap(this.entryUrls.get(0));
		String second = swap(this.entryUrls.get(1));
		return first + (first.equals(second) ? "  (sent twice, done once)"
				: "  ERROR: the second answer differs: " + second);
	}

	private String swap(URI entry) throws IOException, ServiceException {
		return exchange(entry,
				HttpRequest.POST("/services/rota/swaps", "{\"from\":\"Ada\",\"to\":\"Bea\"}")
					.header("Idempotency-Key", "swap-1")
					.bearerAuth(CALLER_KEY))
			.toString();
	}

	private String stepBatch() throws Exception {
		exchange(this.entryUrls.get(0),
				post("/v1/steps",
						Map.of("step", "1", "model", "draft", "groups",
								List.of(Map.of("prompt", "Draft the rota.", "samples", 4, "max_tokens", 8),
										Map.of("prompt", "Draft the leave plan.", "samples", 4, "max_tokens", 8)))));
		JsonNode[] batch = new JsonNode[1];
		await("the batch is complete", () -> {
			try {
				batch[0] = exchange(this.entryUrls.get(1), HttpRequest.GET("/v1/steps/1/batch").bearerAuth(CALLER_KEY));
				return true;
			}
			catch (ServiceException ex) {
				return false;
			}
		});
		return batch[0].path("samples").size() + " samples; the first: "
				+ batch[0].path("samples").path(0).path("spans");
	}

}
