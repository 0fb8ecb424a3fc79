package org.zinniatack.process;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.annotation.Factory;
import io.micronaut.context.annotation.Requires;
import jakarta.inject.Singleton;

/**
 * Provides the registry that the metrics endpoint shows.
 */
@Factory
final class MetricsFactory {

	@Singleton
	@Requires(missingBeans = MeterRegistry.class)
	MeterRegistry registry() {
		return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
	}

}
