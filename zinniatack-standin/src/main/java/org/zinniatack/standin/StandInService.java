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
 * A plain service: a rota that can be read, and swaps of shifts that must not be done
 * twice. It counts what it did, so that tests can tell.
 */
public final class StandInService {

	private final Map<String, AtomicInteger> swaps = new ConcurrentHashMap<>();

	/**
	 * Returns how often each swap was done.
	 * @return the counts by idempotency key
	 */
	public Map<String, Integer> swapCounts() {
		Map<String, Integer> counts = new TreeMap<>();
		this.swaps.forEach((key, count) -> counts.put(key, count.get()));
		return counts;
	}

	int swap(String key) {
		return this.swaps.computeIfAbsent(key, (absent) -> new AtomicInteger()).incrementAndGet();
	}

	/** The HTTP interface of the service. */
	@Controller
	@Requires(beans = StandInService.class)
	@Consumes("*/*")
	static final class ServiceController {

		private static final long SLOW_MS = 1_000;

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
		Map<String, Object> seen(HttpRequest<?> request) {
			Map<String, Object> headers = new TreeMap<>();
			request.getHeaders().forEachValue((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
			return headers;
		}

		@Post("/swaps")
		Map<String, Object> swap(@Header("Idempotency-Key") String key, @Body byte[] body) {
			return Map.of("swap", key, "count", this.service.swap(key), "bytes", body.length);
		}

		@Post("/slow")
		@ExecuteOn(TaskExecutors.BLOCKING)
		Map<String, Object> slow(@Header("Idempotency-Key") String key) throws InterruptedException {
			TimeUnit.MILLISECONDS.sleep(SLOW_MS);
			return Map.of("slow", key, "count", this.service.swap(key));
		}

		@Get("/swaps")
		Map<String, Integer> swaps() {
			return this.service.swapCounts();
		}

	}

}
