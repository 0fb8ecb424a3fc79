package org.zinniatack.process;

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Creates the meter registry that the metrics endpoint exports.
 */
public final class Metrics {

	private Metrics() {
	}

	/**
	 * Returns a registry with memory, thread and processor metrics of the process.
	 * @return the registry
	 */
	public static PrometheusMeterRegistry registry() {
		PrometheusMeterRegistry registry = emptyRegistry();
		bindRuntime(registry);
		return registry;
	}

	/**
	 * Returns a registry without metrics.
	 * @return the registry
	 */
	public static PrometheusMeterRegistry emptyRegistry() {
		return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
	}

	/**
	 * Adds memory, thread and processor metrics of the process to a registry.
	 * @param registry the registry
	 */
	public static void bindRuntime(PrometheusMeterRegistry registry) {
		new JvmMemoryMetrics().bindTo(registry);
		new JvmThreadMetrics().bindTo(registry);
		new ProcessorMetrics().bindTo(registry);
	}

}
