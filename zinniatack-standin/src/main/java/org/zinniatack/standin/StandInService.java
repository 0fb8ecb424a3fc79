package org.zinniatack.standin;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;

/**
 * Simulated plain service with a readable rota and a non-repeatable operation, the swap
 * of two shifts. It counts the swaps per idempotency key, so that tests can detect a
 * repeated one.
 */
public final class StandInService {

	private final Map<String, AtomicInteger> swapCounters = new ConcurrentHashMap<>();

	/**
	 * Returns how many times each swap ran.
	 * @return the number of runs by idempotency key
	 */
	public Map<String, Integer> swapCounts() {
		Map<String, Integer> counts = new TreeMap<>();
		this.swapCounters.forEach((key, count) -> counts.put(key, count.get()));
		return counts;
	}

	int countSwap(String key) {
		return this.swapCounters.computeIfAbsent(key, (absent) -> new AtomicInteger()).incrementAndGet();
	}

	/** HTTP interface of the service. */
	@Controller
	@Requires(beans = StandInService.class)
	@Consumes("*/*")
	static final class ServiceController {

		private static final long SLOW_CALL_MS = 1_000;

		private final StandInService service;

		ServiceController(StandInService service) {
			this.service = service;
		}

		@Get("/health")
		Map<String, String> health() {
			return Map.of("status", "live");
		}

		@Get("/rota")
		@Produces("text/plain")
		String rota() {
			return "Monday 09:00 desk 1: Ada\n";
		}

		@Get("/seen")
		Map<String, Object> receivedHeaders(HttpRequest<?> request) {
			Map<String, Object> headers = new TreeMap<>();
			request.getHeaders().forEachValue((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
			return headers;
		}

		@Post("/swaps")
		Map<String, Object> swap(@Header("Idempotency-Key") String key, @Body byte[] body) {
			return Map.of("swap", key, "count", this.service.countSwap(key), "bytes", body.length);
		}

		@Post("/slow")
		@ExecuteOn(TaskExecutors.BLOCKING)
		Map<String, Object> slow(@Header("Idempotency-Key") String key) throws InterruptedException {
			TimeUnit.MILLISECONDS.sleep(SLOW_CALL_MS);
			return Map.of("slow", key, "count", this.service.countSwap(key));
		}

		@Get("/swaps")
		Map<String, Integer> swaps() {
			return this.service.swapCounts();
		}

	}

}
