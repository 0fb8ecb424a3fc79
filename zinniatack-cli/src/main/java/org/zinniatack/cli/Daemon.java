package org.zinniatack.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import com.google.common.flogger.FluentLogger;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.Service;

/**
 * Runs services and an HTTP server until the process receives a termination signal. On a
 * stop, the services stop first, in reverse order of their start. The server stops last,
 * so that it can send every pending response.
 */
public final class Daemon implements Service {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int HTTP_EVENT_LOOP_THREADS = 2;

	private final ApplicationContext context;

	private final List<Service> services;

	private Daemon(ApplicationContext context, List<Service> services) {
		this.context = context;
		this.services = List.copyOf(services);
	}

	/**
	 * Creates a daemon without starting it.
	 * @param httpAddress the address of the HTTP server, as host and port
	 * @param maximumBodyBytes the maximum size of a request body, in bytes
	 * @param metrics the registry that the metrics endpoint exposes
	 * @param services the services, in the order of their start
	 * @param beans the singletons that can be injected into controllers
	 * @return the daemon
	 */
	public static Daemon of(String httpAddress, int maximumBodyBytes, PrometheusMeterRegistry metrics,
			List<Service> services, Object... beans) {
		int colon = httpAddress.lastIndexOf(':');
		Map<String, Object> properties = new HashMap<>();
		properties.put("micronaut.server.host", httpAddress.substring(0, colon));
		properties.put("micronaut.server.port", httpAddress.substring(colon + 1));
		properties.put("micronaut.server.max-request-size", maximumBodyBytes);
		properties.put("micronaut.server.netty.max-header-size", "16KB");
		properties.put("micronaut.metrics.enabled", false);
		properties.put("micronaut.netty.event-loops.default.num-threads", HTTP_EVENT_LOOP_THREADS);
		List<Object> singletons = new ArrayList<>(List.of(beans));
		singletons.add(metrics);
		ApplicationContext context = ApplicationContext.builder()
			.properties(properties)
			.banner(false)
			.deduceEnvironment(false)
			.singletons(singletons.toArray())
			.build();
		return new Daemon(context, services);
	}

	@Override
	public void start() throws ServiceException {
		this.context.start();
		for (Service service : this.services) {
			service.start();
		}
		EmbeddedServer server = this.context.getBean(EmbeddedServer.class);
		server.start();
		LOGGER.atInfo().log("event=http_started url=%s", server.getURI());
	}

	@Override
	public void stop() {
		for (int index = this.services.size() - 1; index >= 0; index--) {
			this.services.get(index).stop();
		}
		this.context.stop();
	}

	/**
	 * Returns the URL of the HTTP server.
	 * @return the URL
	 */
	public String url() {
		return this.context.getBean(EmbeddedServer.class).getURI().toString();
	}

	/**
	 * Starts the daemon, blocks until the process receives a termination signal, and
	 * stops the daemon.
	 * @throws ServiceException if it cannot start
	 */
	public void run() throws ServiceException {
		CountDownLatch stopped = new CountDownLatch(1);
		Thread runThread = Thread.currentThread();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			runThread.interrupt();
			awaitKeepingInterrupt(stopped);
		}, "stop"));
		try {
			start();
			awaitKeepingInterrupt(new CountDownLatch(1));
		}
		finally {
			Thread.interrupted();
			stop();
			stopped.countDown();
		}
	}

	private static void awaitKeepingInterrupt(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
