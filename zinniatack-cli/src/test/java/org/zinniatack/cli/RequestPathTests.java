package org.zinniatack.cli;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests requests through a complete system without faults, and the result codes of
 * invalid input.
 */
class RequestPathTests {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	@TempDir
	private static Path folder;

	private static LocalSystem system;

	@BeforeAll
	static void startSystem() throws Exception {
		system = new LocalSystem(folder, 1_000, 500);
		system.start(3);
		system.startEngine("engine-1", "a", LocalSystem.engineOptions(1));
		system.startEngine("engine-2", "b", LocalSystem.engineOptions(1));
		system.startService("rota-1");
	}

	@AfterAll
	static void stopSystem() {
		system.close();
	}

	private static int codeOf(HttpResponse<String> answer) throws IOException {
		return MAPPER.readTree(answer.body()).path("error").path("code").asInt();
	}

	private static HttpResponse<String> post(String path, String body, String key) throws Exception {
		return system.send("entry-1", "POST", path, body, key, Map.of());
	}

	@Test
	void aWholeCompletionNamesTheWeightVersionsThatTheEngineStated() throws Exception {
		JsonNode answer = MAPPER.readTree(system.complete("entry-1", "who covers desk 1", 5, false).body());
		assertThat(answer.path("usage").path("completion_tokens").asInt(), is(5));
		assertThat(answer.path("weight_versions").path(0).path("weightVersion").asInt(), is(1));
		assertThat(answer.path("weight_versions").path(0).path("tokenCount").asInt(), is(5));
	}

	@Test
	void aStreamedCompletionEndsWithTheEndMark() throws Exception {
		String events = system.complete("entry-2", "who covers desk 2", 5, true).body();
		assertThat(events.split("\n\n").length, is(6));
		assertThat(events, endsWith("data: [DONE]\n\n"));
	}

	@Test
	void aChatCompletionAnswersAsTheAssistant() throws Exception {
		HttpResponse<String> answer = post("/v1/chat/completions",
				"{\"model\":\"draft\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],\"max_tokens\":3}",
				LocalSystem.CALLER_KEY);
		assertThat(MAPPER.readTree(answer.body()).path("choices").path(0).path("message").path("role").asText(),
				is("assistant"));
	}

	@Test
	void concurrentAnswersReachTheirOwnCallers() throws Exception {
		CompletableFuture<?>[] calls = new CompletableFuture<?>[40];
		for (int number = 0; number < calls.length; number++) {
			String prompt = "caller " + number;
			calls[number] = system
				.sendAsync("entry-" + (1 + number % 2), "POST", "/v1/completions",
						LocalSystem.completionBody(prompt, 8, false), LocalSystem.CALLER_KEY)
				.thenAccept((answer) -> {
					try {
						String text = MAPPER.readTree(answer.body()).path("choices").path(0).path("text").asText();
						assertThat(text, equalTo(expectedText(prompt, 8)));
					}
					catch (IOException ex) {
						throw new AssertionError(ex);
					}
				});
		}
		CompletableFuture.allOf(calls).get(20, TimeUnit.SECONDS);
	}

	/**
	 * Returns the text that a stand-in engine generates for a prompt; all engines
	 * generate the same.
	 */
	private static String expectedText(String prompt, int tokens) {
		try {
			StringBuilder text = new StringBuilder();
			for (String line : system
				.send("engine-of-engine-1", "POST", "/v1/completions", LocalSystem.completionBody(prompt, tokens, true),
						"", Map.of())
				.body()
				.split("\n\n")) {
				if (!line.contains("[DONE]")) {
					text.append(MAPPER.readTree(line.substring("data:".length()))
						.path("choices")
						.path(0)
						.path("text")
						.asText());
				}
			}
			return text.toString();
		}
		catch (IOException | InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	@Test
	void anOpenRouteNeedsNoKey() throws Exception {
		assertThat(system.send("entry-1", "GET", "/services/open/rota", "", "", Map.of()).body(),
				containsString("desk 1"));
	}

	@Test
	void noTargetSeesAKey() throws Exception {
		String seenHeaders = system.send("entry-1", "GET", "/services/rota/seen", "", LocalSystem.CALLER_KEY, Map.of())
			.body();
		assertThat(seenHeaders, not(containsString(LocalSystem.CALLER_KEY)));
		assertThat(seenHeaders, not(containsString("authorization")));
		assertThat(codeOf(system.send("entry-1", "GET", "/services/rota/seen?key=" + LocalSystem.CALLER_KEY, "",
				LocalSystem.CALLER_KEY, Map.of())), is(1012));
	}

	@Test
	@Tag("known-red")
	void aRequestThatMayNotBeRepeatedRunsOnceThroughTwoEntries() throws Exception {
		Map<String, String> header = Map.of("Idempotency-Key", "swap-7");
		HttpResponse<String> first = system.send("entry-1", "POST", "/services/rota/swaps", "{}",
				LocalSystem.CALLER_KEY, header);
		HttpResponse<String> second = system.send("entry-2", "POST", "/services/rota/swaps", "{}",
				LocalSystem.CALLER_KEY, header);
		assertThat(second.body(), equalTo(first.body()));
		assertThat("after the answer " + first.statusCode() + " " + first.body(), swapCount("swap-7"), is(1));
	}

	@Test
	void twoCustomersShareNoIdempotencyKey() throws Exception {
		Map<String, String> header = Map.of("Idempotency-Key", "swap-8");
		system.send("entry-1", "POST", "/services/rota/swaps", "{}", LocalSystem.CALLER_KEY, header);
		system.send("entry-1", "POST", "/services/rota/swaps", "{}", LocalSystem.OTHER_KEY, header);
		assertThat(swapCount("swap-8"), is(2));
	}

	private static int swapCount(String key) throws Exception {
		return MAPPER.readTree(system.send("service-of-rota-1", "GET", "/swaps", "", "", Map.of()).body())
			.path(key)
			.asInt();
	}

	@Test
	void aStepGivesTheSameBatchAtEachFetchUntilItIsReleased() throws Exception {
		post("/v1/steps",
				"{\"step\":\"s1\",\"model\":\"draft\",\"groups\":[{\"prompt\":\"p\",\"samples\":4,\"max_tokens\":4}]}",
				LocalSystem.CALLER_KEY);
		LocalSystem.await("the batch is complete", () -> fetchBatch("entry-2", "s1").statusCode() == 200);
		assertThat(fetchBatch("entry-1", "s1").body(), equalTo(fetchBatch("entry-2", "s1").body()));
		assertThat(MAPPER.readTree(fetchBatch("entry-1", "s1").body()).path("samples").size(), is(4));
		system.send("entry-1", "DELETE", "/v1/steps/s1", "", LocalSystem.CALLER_KEY, Map.of());
		assertThat(codeOf(fetchBatch("entry-2", "s1")), is(4103));
	}

	private static HttpResponse<String> fetchBatch(String entry, String step) throws IOException, InterruptedException {
		return system.send(entry, "GET", "/v1/steps/" + step + "/batch", "", LocalSystem.CALLER_KEY, Map.of());
	}

	@Test
	void aStepBelongsToItsCustomer() throws Exception {
		post("/v1/steps",
				"{\"step\":\"s2\",\"model\":\"draft\",\"groups\":[{\"prompt\":\"p\",\"samples\":1,\"max_tokens\":2}]}",
				LocalSystem.CALLER_KEY);
		LocalSystem.await("the batch is complete", () -> fetchBatch("entry-1", "s2").statusCode() == 200);
		assertThat(codeOf(system.send("entry-1", "GET", "/v1/steps/s2/batch", "", LocalSystem.OTHER_KEY, Map.of())),
				is(4101));
	}

	@Test
	void badInputGetsItsCode() throws Exception {
		String key = LocalSystem.CALLER_KEY;
		assertThat("broken JSON", codeOf(post("/v1/completions", "{", key)), is(1001));
		assertThat("a body of the wrong kind", codeOf(post("/v1/completions", "[]", key)), is(1001));
		assertThat("a missing field", codeOf(post("/v1/completions", "{\"model\":\"draft\"}", key)), is(1008));
		assertThat("an unknown model", codeOf(post("/v1/completions", "{\"model\":\"none\",\"prompt\":\"p\"}", key)),
				is(1003));
		assertThat("an unknown service", codeOf(post("/services/none/x", "{}", key)), is(1003));
		assertThat("an unknown path", codeOf(post("/v9/x", "{}", key)), is(1003));
		assertThat("no key", codeOf(post("/v1/completions", LocalSystem.completionBody("p", 1, false), "")), is(1004));
		assertThat("a wrong key", codeOf(post("/v1/completions", LocalSystem.completionBody("p", 1, false), "zk-x")),
				is(1005));
		assertThat("another customer's route",
				codeOf(post("/v1/completions", LocalSystem.completionBody("p", 1, false), LocalSystem.OTHER_KEY)),
				is(1007));
		assertThat("no idempotency key", codeOf(post("/services/rota/swaps", "{}", key)), is(1009));
		assertThat("an oversized body",
				codeOf(post("/v1/completions", LocalSystem.completionBody("x".repeat(1 << 21), 1, false), key)),
				is(1002));
	}

	@Test
	void badChangesGetTheirCodeAndChangeNothing() throws Exception {
		long revision = system.revisionOf("customer", "trentvale");
		String path = "/v1/records/customer/trentvale";
		assertThat(codeOf(system.callOperatorApi("PUT", path,
				"{\"schemaVersion\":9,\"expectedRevision\":" + revision + ",\"document\":{}}")), is(4002));
		assertThat(
				codeOf(system.callOperatorApi("PUT", path,
						"{\"schemaVersion\":2,\"expectedRevision\":" + revision + ",\"document\":{\"wieght\":2}}")),
				is(4003));
		assertThat(codeOf(
				system.callOperatorApi("PUT", path, "{\"schemaVersion\":2,\"expectedRevision\":1,\"document\":{}}")),
				is(4001));
		assertThat(codeOf(system.callOperatorApi("PUT", path, "{")), is(1001));
		assertThat(codeOf(system.callOperatorApi("PUT", "/v1/records/key/k",
				"{\"schemaVersion\":2,\"expectedRevision\":0,\"document\":{\"customer\":\"nobody\",\"digestSha256\":\""
						+ "0".repeat(64) + "\"}}")),
				is(4009));
		assertThat(codeOf(system.send("control-1", "GET", "/v1/status", "", "wrong", Map.of())), is(4005));
		assertThat(system.revisionOf("customer", "trentvale"), is(revision));
	}

	@Test
	void aChangeThatIsSentAgainGetsItsFirstAnswer() throws Exception {
		String body = "{\"schemaVersion\":2,\"expectedRevision\":0,\"document\":{\"weight\":3}}";
		Map<String, String> header = Map.of("X-Request-Id", "request-1");
		String first = system
			.send("control-1", "PUT", "/v1/records/customer/again", body, LocalSystem.OPERATOR_KEY, header)
			.body();
		String second = system
			.send("control-2", "PUT", "/v1/records/customer/again", body, LocalSystem.OPERATOR_KEY, header)
			.body();
		assertThat(second, equalTo(first));
		assertThat(codeOf(system.send("control-3", "PUT", "/v1/records/customer/again", body, LocalSystem.OPERATOR_KEY,
				Map.of())), is(4001));
	}

	@Test
	void strangersAndHalfFramesAreRefusedAndHarmNothing() throws Exception {
		for (String process : new String[] { "entry-1", "control-1" }) {
			String[] address = system.wireAddress(process).split(":");
			try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
				socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
				socket.getOutputStream().flush();
				socket.setSoTimeout(8_000);
				assertThat("closed", socket.getInputStream().readAllBytes().length >= 0, is(true));
			}
			try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
				socket.getOutputStream().write(new byte[] { 0, 0, 0, 50, 1 });
			}
		}
		assertThat(system.complete("entry-1", "still there", 1, false).statusCode(), is(200));
	}

	@Test
	void usageIsReportedOnceAWindowAndAddsUp() throws Exception {
		for (int call = 0; call < 5; call++) {
			system.complete("entry-" + (1 + call % 2), "usage " + call, 7, false);
		}
		LocalSystem.await("35 tokens or more are reported", () -> reportedTokens() >= 35);
		for (JsonNode reports : system.getFromPlatform("/usage")) {
			for (JsonNode report : reports) {
				assertThat("a window's figures", report.path("figures"), equalTo(reports.get(0).path("figures")));
			}
		}
	}

	private static long reportedTokens() throws Exception {
		long tokens = 0;
		for (JsonNode reports : system.getFromPlatform("/usage")) {
			for (JsonNode figure : reports.path(0).path("figures")) {
				tokens += figure.path("tokenCount").asLong();
			}
		}
		return tokens;
	}

	@Test
	void metricsAndDumpsShowNoSecret() throws Exception {
		String shown = system.send("entry-1", "GET", "/metrics", "", "", Map.of()).body() + system.dump("entry-1")
				+ system.dump("control-1") + system.dump("engine-1");
		assertThat(shown, containsString("zinniatack_requests"));
		for (String secret : new String[] { LocalSystem.CALLER_KEY, LocalSystem.OPERATOR_KEY,
				LocalSystem.CLUSTER_SECRET }) {
			assertThat(shown, not(containsString(secret)));
		}
		assertThat(system.send("entry-1", "GET", "/dump", "", "", Map.of()).statusCode(), is(401));
	}

}
