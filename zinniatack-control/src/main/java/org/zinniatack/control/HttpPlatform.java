package org.zinniatack.control;

import java.net.MalformedURLException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.BlockingHttpClient;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.state.TargetOrder;
import org.zinniatack.core.usage.UsageFigure;
import org.zinniatack.core.usage.UsageWindow;

/**
 * Calls the platform's interfaces over HTTP with JSON bodies.
 */
final class HttpPlatform implements Platform {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int NOT_FOUND = 404;

	private final BlockingHttpClient client;

	HttpPlatform(URI platform) throws MalformedURLException {
		DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
		configuration.setReadTimeout(TIMEOUT);
		configuration.setConnectTimeout(TIMEOUT);
		this.client = HttpClient.create(platform.toURL(), configuration).toBlocking();
	}

	@Override
	public Optional<Long> newestWeightVersion(String model) throws ServiceException {
		try {
			return Optional.of(this.client.retrieve(HttpRequest.GET("/weights/" + model), WeightsBody.class).version());
		}
		catch (HttpClientResponseException ex) {
			if (ex.getStatus().getCode() == NOT_FOUND) {
				return Optional.empty();
			}
			throw requestFailed(ex);
		}
		catch (HttpClientException ex) {
			throw requestFailed(ex);
		}
	}

	@Override
	public void sendOrder(TargetOrder order, long fencingNumber, BooleanSupplier maySend) throws ServiceException {
		put(maySend, "/orders/" + order.pool(),
				new OrderBody(fencingNumber, order.orderNumber(), order.countsByFailureDomain()));
	}

	@Override
	public void reportUsage(UsageWindow window, long fencingNumber, BooleanSupplier maySend) throws ServiceException {
		put(maySend, "/usage/" + window.startMs(),
				new UsageBody(fencingNumber, window.startMs(), window.endMs(), window.figures()));
	}

	private void put(BooleanSupplier maySend, String path, Object body) throws ServiceException {
		if (!maySend.getAsBoolean()) {
			throw ServiceException.of(ResultCode.NOT_LEADER, "this process may not call the platform any more");
		}
		try {
			this.client.exchange(HttpRequest.PUT(path, body), Argument.STRING);
		}
		catch (HttpClientException ex) {
			throw requestFailed(ex);
		}
	}

	private static ServiceException requestFailed(HttpClientException cause) {
		return ServiceException.of(ResultCode.TARGET_FAILED, "the platform request failed: " + cause.getMessage());
	}

	/**
	 * The response of the weight store.
	 *
	 * @param version the newest weight version
	 */
	record WeightsBody(long version) {
	}

	/**
	 * The body of an order of targets.
	 *
	 * @param fencingNumber the fencing token, which is the sender's term
	 * @param orderNumber the number of the order
	 * @param countsByFailureDomain the number of targets by failure domain
	 */
	record OrderBody(long fencingNumber, long orderNumber, Map<String, Integer> countsByFailureDomain) {
	}

	/**
	 * The body of a usage report.
	 *
	 * @param fencingNumber the fencing token, which is the sender's term
	 * @param startMs the start of the window, in milliseconds since the Unix epoch
	 * @param endMs the end of the window, in milliseconds since the Unix epoch
	 * @param figures the usage figures
	 */
	record UsageBody(long fencingNumber, long startMs, long endMs, List<UsageFigure> figures) {
	}

}
