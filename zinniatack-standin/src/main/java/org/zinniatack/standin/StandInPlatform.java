package org.zinniatack.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;

/**
 * Simulated platform. It accepts target orders and usage reports with a current fencing
 * token, serves the newest weight version of each model, and keeps all accepted orders
 * and reports for inspection.
 */
public final class StandInPlatform {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final List<JsonNode> orders = new ArrayList<>();

	private final Map<String, List<JsonNode>> usageReports = new TreeMap<>();

	private final Map<String, Long> weightVersions = new ConcurrentHashMap<>();

	private long newestFencingNumber;

	/**
	 * Sets the newest weight version of a model.
	 * @param model the model
	 * @param version the weight version
	 */
	public void announceWeights(String model, long version) {
		this.weightVersions.put(model, version);
	}

	/** Returns true for an outdated fencing token, otherwise stores it as the newest. */
	private synchronized boolean isOutdated(JsonNode message) {
		long number = message.path("fencingNumber").asLong();
		if (number < this.newestFencingNumber) {
			return true;
		}
		this.newestFencingNumber = number;
		return false;
	}

	private synchronized void addOrder(JsonNode order) {
		this.orders.add(order);
	}

	private synchronized void addUsageReport(String window, JsonNode report) {
		this.usageReports.computeIfAbsent(window, (absent) -> new ArrayList<>()).add(report);
	}

	/** HTTP interface of the platform. */
	@Controller
	@Requires(beans = StandInPlatform.class)
	@Consumes("*/*")
	static final class PlatformController {

		private final StandInPlatform platform;

		PlatformController(StandInPlatform platform) {
			this.platform = platform;
		}

		@Get("/health")
		Map<String, String> health() {
			return Map.of("status", "live");
		}

		@Put("/orders/{pool}")
		HttpResponse<Map<String, String>> order(String pool, @Body byte[] body) throws IOException {
			JsonNode order = MAPPER.readTree(body);
			if (this.platform.isOutdated(order)) {
				return HttpResponse.status(HttpStatus.CONFLICT);
			}
			this.platform.addOrder(order);
			return HttpResponse.ok(Map.of("pool", pool));
		}

		@Get("/orders")
		List<JsonNode> orders() {
			synchronized (this.platform) {
				return List.copyOf(this.platform.orders);
			}
		}

		@Put("/usage/{window}")
		HttpResponse<Map<String, String>> usage(String window, @Body byte[] body) throws IOException {
			JsonNode report = MAPPER.readTree(body);
			if (this.platform.isOutdated(report)) {
				return HttpResponse.status(HttpStatus.CONFLICT);
			}
			this.platform.addUsageReport(window, report);
			return HttpResponse.ok(Map.of("window", window));
		}

		@Get("/usage")
		Map<String, List<JsonNode>> usage() {
			synchronized (this.platform) {
				return new TreeMap<>(this.platform.usageReports);
			}
		}

		@Get("/weights/{model}")
		HttpResponse<Map<String, Long>> weights(String model) {
			Long version = this.platform.weightVersions.get(model);
			return (version != null) ? HttpResponse.ok(Map.of("version", version)) : HttpResponse.notFound();
		}

		@Post("/weights/{model}/{version}")
		Map<String, Long> announce(String model, long version) {
			this.platform.announceWeights(model, version);
			return Map.of("version", version);
		}

	}

}
