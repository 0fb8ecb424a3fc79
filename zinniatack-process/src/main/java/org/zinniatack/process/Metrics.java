package org.zinniatack.process;

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Makes the registry that the metrics endpoint shows.
 */
public final class Metrics {

	private Metrics() {
	}

	/**
	 * Returns a registry that counts the process's memory, collections and processor
	 * time.
	 * @return the registry
	 */
	public static PrometheusMeterRegistry registry() {
		PrometheusMeterRegistry registry = emptyRegistry();
		bindRuntime(registry);
		return registry;
	}

	/**
	 * Returns a registry that counts nothing yet.
	 * @return the registry
	 */
	public static PrometheusMeterRegistry emptyRegistry() {
		return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
	}

	/**
	 * Lets a registry count the process's memory, collections and processor time.
	 * @param registry the registry
	 */
	public static void bindRuntime(PrometheusMeterRegistry registry) {
		new JvmMemoryMetrics().bindTo(registry);
		new JvmThreadMetrics().bindTo(registry);
		new ProcessorMetrics().bindTo(registry);
	}

}
