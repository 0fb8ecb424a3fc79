package org.zinniatack.control;

import java.net.MalformedURLException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
 * The platform behind HTTP.
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
			throw failed(ex);
		}
		catch (HttpClientException ex) {
			throw failed(ex);
		}
	}

	@Override
	public void sendOrder(TargetOrder order, long fencingNumber) throws ServiceException {
		put("/orders/" + order.pool(),
				new OrderBody(fencingNumber, order.orderNumber(), order.countsByFailureDomain()));
	}

	@Override
	public void reportUsage(UsageWindow window, long fencingNumber) throws ServiceException {
		put("/usage/" + window.startMs(),
				new UsageBody(fencingNumber, window.startMs(), window.endMs(), window.figures()));
	}

	private void put(String path, Object body) throws ServiceException {
		try {
			this.client.exchange(HttpRequest.PUT(path, body), Argument.STRING);
		}
		catch (HttpClientException ex) {
			throw failed(ex);
		}
	}

	private static ServiceException failed(HttpClientException cause) {
		return ServiceException.of(ResultCode.TARGET_FAILED, "platform: " + cause.getMessage());
	}

	/**
	 * The weight store's answer.
	 *
	 * @param version the newest version
	 */
	record WeightsBody(long version) {
	}

	/**
	 * An order.
	 *
	 * @param fencingNumber the epoch of the sender
	 * @param orderNumber the number of the order
	 * @param countsByFailureDomain the number of targets by failure domain
	 */
	record OrderBody(long fencingNumber, long orderNumber, Map<String, Integer> countsByFailureDomain) {
	}

	/**
	 * A usage report.
	 *
	 * @param fencingNumber the epoch of the sender
	 * @param startMs the start of the window
	 * @param endMs the end of the window
	 * @param figures the figures
	 */
	record UsageBody(long fencingNumber, long startMs, long endMs, List<UsageFigure> figures) {
	}

}
