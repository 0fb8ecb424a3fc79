package org.zinniatack.agent;

import java.net.ConnectException;
import java.net.MalformedURLException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.StreamingHttpClient;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.util.context.Context;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.wire.Message;

/**
 * A target with an HTTP API: a model engine or a plain service.
 */
final class HttpTarget implements Target {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final String DROPPED_ERROR_KEY = "reactor.onErrorDropped.local";

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration STATE_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration LOAD_WEIGHTS_TIMEOUT = Duration.ofSeconds(30);

	private static final int HTTP_THREADS = 2;

	private static final int FIRST_ERROR_STATUS = 400;

	private final StreamingHttpClient client;

	private final boolean engine;

	HttpTarget(String url, boolean engine) throws ServiceException {
		this.engine = engine;
		DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
		configuration.setConnectTimeout(CONNECT_TIMEOUT);
		configuration.setReadTimeout(null);
		configuration.setExceptionOnErrorStatus(false);
		configuration.setMaxContentLength(Integer.MAX_VALUE);
		configuration.setNumOfThreads(HTTP_THREADS);
		// The client reads a response behind whatever followed the one before it, and
		// targets do not repeat the id of a request.
		configuration.getConnectionPoolConfiguration().setEnabled(false);
		try {
			this.client = StreamingHttpClient.create(URI.create(url).toURL(), configuration);
		}
		catch (MalformedURLException | IllegalArgumentException ex) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID, "targetUrl must be a valid URL");
		}
	}

	@Override
	public Runnable run(Message.Run run, Receiver receiver) {
		MutableHttpRequest<Object> request = HttpRequest.create(HttpMethod.parse(run.method()), run.path());
		run.headers().forEach(request::header);
		if (run.body().length > 0) {
			request.body(run.body());
		}
		EventSplitter events = new EventSplitter();
		AtomicBoolean headSent = new AtomicBoolean();
		Disposable subscription = Flux.from(this.client.exchangeStream(request))
			.timeout(Mono.delay(Duration.ofMillis(run.deadlineInMs())), (next) -> Mono.never())
			.contextWrite(Context.of(DROPPED_ERROR_KEY,
					(Consumer<Throwable>) (dropped) -> LOGGER.atFine()
						.log("event=error_after_cancel detail=\"%s\"", dropped.getMessage())))
			.subscribe((response) -> onPart(response, headSent, events, receiver),
					(failure) -> receiver.failed(failure, !isConnectFailure(failure)),
					() -> onComplete(events, receiver));
		return subscription::dispose;
	}

	private void onPart(HttpResponse<ByteBuffer<?>> response, AtomicBoolean headSent, EventSplitter events,
			Receiver receiver) {
		int status = response.code();
		if (headSent.compareAndSet(false, true)) {
			receiver.head(status, response.getHeaders().getContentType().orElse(""));
		}
		byte[] bytes = bytesOf(response);
		if (!this.engine) {
			if (bytes.length > 0) {
				receiver.chunk(bytes);
			}
		}
		else if (status >= FIRST_ERROR_STATUS) {
			events.setErrorStatus(status);
		}
		else {
			events.feed(bytes, receiver::chunk);
		}
	}

	/** Copies the bytes of a part, because the client releases the buffer afterwards. */
	private static byte[] bytesOf(HttpResponse<ByteBuffer<?>> response) {
		ByteBuffer<?> buffer = response.body();
		return (buffer != null) ? buffer.toByteArray() : new byte[0];
	}

	private void onComplete(EventSplitter events, Receiver receiver) {
		if (!this.engine || events.isDone()) {
			receiver.end();
		}
		else if (events.errorStatus() >= 500) {
			receiver.failed(ServiceException.of(ResultCode.TARGET_FAILED,
					"the engine answered with status " + events.errorStatus()), true);
		}
		else if (events.errorStatus() > 0) {
			receiver.failed(ServiceException.of(ResultCode.FIELD_INVALID,
					"the engine answered with status " + events.errorStatus()), true);
		}
		else {
			receiver.failed(ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "the event stream ended without [DONE]"),
					true);
		}
	}

	private static boolean isConnectFailure(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof ConnectException) {
				return true;
			}
		}
		return false;
	}

	@Override
	public CompletableFuture<State> state() {
		String path = this.engine ? "/admin/state" : "/health";
		return Mono.from(this.client.exchange(HttpRequest.GET(path), Map.class))
			.timeout(STATE_TIMEOUT)
			.map((response) -> new State(this.engine ? versionOf(response.body()) : 0))
			.toFuture();
	}

	private static long versionOf(Map<?, ?> state) {
		return (state.get("weight_version") instanceof Number version) ? version.longValue() : 0;
	}

	@Override
	public CompletableFuture<Void> loadWeights(long version, long fencingNumber) {
		HttpRequest<?> order = HttpRequest.PUT("/admin/weights",
				Map.of("version", version, "fencing_number", fencingNumber));
		return Mono.from(this.client.exchange(order, Map.class)).timeout(LOAD_WEIGHTS_TIMEOUT).flatMap((response) -> {
			boolean refused = response.code() >= FIRST_ERROR_STATUS;
			return refused
					? Mono.<Void>error(ServiceException.of(ResultCode.TARGET_FAILED,
							"the engine answered the weight order with status " + response.code()))
					: Mono.<Void>empty();
		}).toFuture();
	}

}
