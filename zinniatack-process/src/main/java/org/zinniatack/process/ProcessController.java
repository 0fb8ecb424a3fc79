package org.zinniatack.process;

import java.util.Map;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Produces;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ServiceException;

/**
 * HTTP endpoints for the liveness, readiness, metrics and state dump of a process.
 */
@Controller
@Requires(beans = ProcessStatus.class)
final class ProcessController {

	private final ProcessStatus processStatus;

	private final OperatorKeys operatorKeys;

	private final PrometheusMeterRegistry metrics;

	ProcessController(ProcessStatus processStatus, OperatorKeys operatorKeys, PrometheusMeterRegistry metrics) {
		this.processStatus = processStatus;
		this.operatorKeys = operatorKeys;
		this.metrics = metrics;
	}

	@Get("/health/live")
	Map<String, String> live() {
		return Map.of("status", "live");
	}

	@Get("/health/ready")
	HttpResponse<Map<String, String>> ready() {
		return this.processStatus.isReady() ? HttpResponse.ok(Map.of("status", "ready"))
				: HttpResponse.<Map<String, String>>status(HttpStatus.SERVICE_UNAVAILABLE)
					.body(Map.of("status", "not ready"));
	}

	@Get("/metrics")
	@Produces(MediaType.TEXT_PLAIN)
	String metrics() {
		return this.metrics.scrape();
	}

	@Get("/dump")
	Map<String, Object> dump(@Header("Authorization") @Nullable String authorization) throws ServiceException {
		this.operatorKeys.require(authorization);
		return this.processStatus.dump();
	}

}
